package org.tanagermoor.policy.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.policy.prompt.Prompt;

/** Crashes and answers of which the evidence accuses a part of prompts, or none. */
final class CrashEvidenceTest {

    private static final Prompt DEADLY = new Prompt(List.of("first", "companion", "deadly"), "");

    private final CrashEvidence evidence = CrashEvidence.of();

    private final Set<String> quarantined = new HashSet<>();

    private long now = TimeUnit.SECONDS.toNanos(100);

    private int runs;

    /** The crash of a target breaks off sound requests, too; only the part that no answer holds is accused. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void accusesThePartWithinFiveCrashes(long seed) {
        Random random = new Random(seed);
        Optional<CrashEvidence.Accusation> accusation = Optional.empty();
        int crashes = 0;
        while (accusation.isEmpty() && crashes < 20) {
            for (int request = 0; request < 10; request++) {
                answered("t-" + random.nextInt(100) + "-sound", "first", "thing-" + random.nextInt(50));
            }
            long sentAt = now;
            advance(100);
            String target = "t-" + crashes++;
            crashed(target, sentAt, new Prompt(List.of("first", "thing-" + random.nextInt(50)), "o" + runs));
            crashed(target, sentAt, new Prompt(DEADLY.shared(), "o" + runs));
            advance(400);
            accusation = evidence.accusation(now);
        }
        assertThat(accusation.map(CrashEvidence.Accusation::mark), is(Optional.of("deadly")));
        assertThat(crashes, is(lessThanOrEqualTo(5)));
        evidence.explain(accusation.orElseThrow());
        assertThat(evidence.accusation(now), is(Optional.empty()));
    }

    /** One request that came again and again was never accused, as a part needed two different requests. */
    @ParameterizedTest
    @CsvSource({"1, false, request:1", "1, true, request:1", "5, false, last:own", "5, true, "})
    void accusesARequestThatIsSentAgain(int contents, boolean ownAnswered, String accused) {
        for (int crash = 0; crash < 4 && evidence.accusation(now).isEmpty(); crash++) {
            answered("other", "first", "second");
            if (ownAnswered) {
                answered("other", "first", "last:own");
            }
            long sentAt = now;
            advance(100);
            String content = "request:" + (1 + crash % contents);
            crashed("t-" + crash, sentAt, new Prompt(List.of("first", "second"), "own", content));
            advance(400);
            for (int answer = 0; answer < 3; answer++) {
                answered("other", "first");
            }
        }
        assertThat(evidence.accusation(now).map(CrashEvidence.Accusation::mark), is(Optional.ofNullable(accused)));
    }

    /** A failure domain that is lost at once, or a link that closes connections, does not accuse a request. */
    @ParameterizedTest
    @CsvSource({"0, false, false", "500, true, false", "500, false, true"})
    void accusesARequestOnlyOfCrashesThatFollowOneAnother(long gapMillis, boolean targetsAnswer, boolean accused) {
        for (int crash = 0; crash < 6; crash++) {
            long sentAt = now;
            advance(gapMillis);
            crashed("t-" + crash, sentAt, new Prompt(List.of("first"), "own", "request:sound"));
            advance(gapMillis);
            answered(targetsAnswer ? "t-" + crash : "other", "first");
        }
        assertThat(evidence.accusation(now).isPresent(), is(accused));
    }

    /** A request that crashes targets was forgotten in favour of the many sound ones that the crashes break off. */
    @Test
    void keepsTheRequestAmongManySoundOnes() {
        for (int crash = 0; crash < CrashEvidence.MIN_CRASHES; crash++) {
            long sentAt = now;
            advance(100);
            crashed("t-" + crash, sentAt, new Prompt(List.of("first"), "own", "request:deadly"));
            for (int sound = 0; sound < CrashEvidence.MAX_SUSPECTS / 4; sound++) {
                crashed("t-" + crash, sentAt, new Prompt(List.of("first"), "own-" + runs, "request:" + runs));
            }
            advance(400);
            for (int answer = 0; answer < 3; answer++) {
                answered("other", "first");
            }
        }
        assertThat(evidence.accusation(now).map(CrashEvidence.Accusation::mark), is(Optional.of("request:deadly")));
    }

    /**
     * What is missing for an accusation: crashes that followed one another, requests, other answers, or answers to the
     * only instance that reports crashes.
     */
    @ParameterizedTest
    @CsvSource({
        "3, 500, 3, 2, 3, true",
        "2, 500, 3, 2, 3, false",
        "12, 0, 12, 4, 9, false",
        "4, 500, 1, 2, 3, false",
        "4, 500, 4, 2, 2, false",
        "4, 500, 4, 1, 3, true",
        "4, 500, 4, 1, 2, false"
    })
    void accusesOnlyOnSufficientEvidence(
            int crashes, long gapMillis, int requests, int holders, int otherAnswers, boolean accused) {
        for (int crash = 0; crash < crashes; crash++) {
            long sentAt = now;
            advance(gapMillis);
            Prompt prompt = new Prompt(List.of("part"), "own-" + crash % requests);
            evidence.crashed(
                    new Crash("r-" + crash, "h-" + crash % holders, "t-" + crash, prompt, sentAt, now),
                    quarantined::contains);
            advance(gapMillis);
        }
        for (int answer = 0; answer < otherAnswers; answer++) {
            answered("other", "first");
        }
        for (int answer = 0; answer < (holders == 1 ? 10 : 0); answer++) {
            evidence.answered("elsewhere", "other", List.of("first"), now);
        }
        assertThat(evidence.accusation(now).isPresent(), is(accused));
    }

    /** An answer acquits its parts, and one of a target that was thought to have crashed withdraws the crash. */
    @ParameterizedTest
    @CsvSource({"part, other, 600, false", "first, t-2, 600, false", "first, t-2, 100, true", "first, t-2, 2500, true"})
    void answersAcquit(String answeredPart, String target, long afterMillis, boolean accused) {
        for (int crash = 0; crash < 3; crash++) {
            advance(1);
            long sentAt = now;
            advance(100);
            crashed("t-" + crash, sentAt, new Prompt(List.of("part"), "o" + runs));
        }
        advance(afterMillis);
        answered(target, answeredPart);
        for (int answer = 0; answer < 3; answer++) {
            answered("other", "first");
        }
        assertThat(evidence.accusation(now).isPresent(), is(accused));
    }

    /**
     * Three items went from one target to the next that reset them, 0.2 s apart, while no other item with their part
     * was answered. In the 10 s before, 22 had been.
     *
     * @param answersBefore The number of answers with the part in the 10 s before the first reset.
     * @param crashes The number of resets after the head of the answer, each under another item.
     * @param accused Whether the part is accused.
     */
    @ParameterizedTest
    @CsvSource({"22, 3, false", "22, 6, false", "0, 3, true", "22, 15, true"})
    void expectsAnswersToAPartThatWasAnsweredBefore(int answersBefore, int crashes, boolean accused) {
        for (int answer = 0; answer < answersBefore; answer++) {
            answered("other", "part");
            advance(450);
        }
        for (int crash = 0; crash < crashes; crash++) {
            advance(200);
            long sentAt = now;
            advance(7);
            crashed("t-" + crash, sentAt, new Prompt(List.of("part"), "item-" + crash));
            answered("other", "first");
        }
        assertThat(evidence.accusation(now).isPresent(), is(accused));
    }

    /**
     * Signs that a target did not crash, or does so under any request, and came before or after the report of the
     * crash.
     *
     * @param sign What the target did.
     * @param afterMillis The time from the crash to the sign.
     * @param lateReport Whether the crash is reported after the sign.
     * @param accused Whether the part is accused.
     */
    @ParameterizedTest
    @CsvSource({
        "DECLINED, 600, false, false",
        "DECLINED, 600, true, false",
        "FAILED, 600, false, false",
        "FAILED, 600, true, false",
        "BEGUN, 600, true, false",
        "FAILED, 4000, false, false",
        "FAILED, 4000, true, false",
        "FAILED, -4000, false, false",
        "BEGUN, 4000, false, false",
        "FAILED, 100, false, true",
        "FAILED, 11000, false, true",
        "DECLINED, 4000, false, true"
    })
    void countsNoCrashOfATargetThatFailsOtherwise(Sign sign, long afterMillis, boolean lateReport, boolean accused) {
        for (int crash = 0; crash < 2; crash++) {
            advance(20_000);
            crashed("t-" + crash, now - 1, new Prompt(List.of("part"), "own-" + crash));
        }
        advance(20_000);
        long crashedAt = now;
        if (!lateReport) {
            crashedAt(crashedAt);
        }
        now = crashedAt + TimeUnit.MILLISECONDS.toNanos(afterMillis);
        switch (sign) {
            case DECLINED -> evidence.declined("t-2", now - 1, now);
            case FAILED -> evidence.failed("t-2", List.of("first"), now - 1, now);
            case BEGUN -> crashed("t-2", now - 1, new Prompt(List.of("second"), "own"));
        }
        now = Math.max(now, crashedAt);
        if (lateReport) {
            crashedAt(crashedAt);
        }
        for (int answer = 0; answer < 3; answer++) {
            answered("other", "first");
        }
        assertThat(evidence.accusation(now).isPresent(), is(accused));
    }

    /** If the crash that one instance saw is withdrawn, the answers to the other one count from its own first crash. */
    @ParameterizedTest
    @CsvSource({"2, false", "3, true"})
    void countsAnswersFromTheFirstCrashThatIsLeft(int answers, boolean accused) {
        for (int answer = 0; answer < 5; answer++) {
            answered("other", "first");
        }
        for (int crash = 0; crash < 4; crash++) {
            long sentAt = now;
            advance(150);
            Prompt prompt = new Prompt(List.of("part"), "own-" + crash);
            String holder = crash == 0 ? "withdrawn" : "h-0";
            evidence.crashed(new Crash("r-" + crash, holder, "t-" + crash, prompt, sentAt, now), quarantined::contains);
            advance(150);
        }
        evidence.answered("elsewhere", "t-0", List.of("first"), now);
        for (int answer = 0; answer < answers; answer++) {
            answered("other", "first");
        }
        assertThat(evidence.accusation(now).isPresent(), is(accused));
    }

    /** Crashes that a part explains which is already held back do not accuse the parts beside it. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void ignoresCrashesThatAreExplained(boolean deadlyFirst) {
        quarantined.add("deadly");
        for (int crash = 0; crash < 4; crash++) {
            long sentAt = now;
            advance(300);
            Prompt sound = new Prompt(List.of("first", "companion"), "s" + runs);
            crashed("t-" + crash, sentAt, deadlyFirst ? new Prompt(DEADLY.shared(), "d" + runs) : sound);
            crashed("t-" + crash, sentAt, deadlyFirst ? sound : new Prompt(DEADLY.shared(), "d" + runs));
            answered("other", "elsewhere");
        }
        assertThat(evidence.accusation(now), is(Optional.empty()));
    }

    /** The same run is reported to each new dispatcher, and evidence ages. */
    @ParameterizedTest
    @CsvSource({"true, 0", "false, 11"})
    void countsEachRunOnceAndNotForEver(boolean repeated, long ageMinutes) {
        for (int crash = 0; crash < 3; crash++) {
            long sentAt = now;
            advance(300);
            Prompt prompt = new Prompt(List.of("part"), "own-" + crash);
            String run = repeated ? "same" : "r-" + crash;
            evidence.crashed(new Crash(run, "h", "t-" + crash, prompt, sentAt, now), quarantined::contains);
            answered("other", "first");
        }
        advance(TimeUnit.MINUTES.toMillis(ageMinutes));
        assertThat(evidence.accusation(now), is(Optional.empty()));
    }

    private void crashedAt(long brokeAt) {
        Prompt prompt = new Prompt(List.of("part"), "own-2");
        evidence.crashed(new Crash("r", "h", "t-2", prompt, brokeAt - 1, brokeAt), quarantined::contains);
    }

    /** What a target did. */
    private enum Sign {
        DECLINED,
        FAILED,
        BEGUN
    }

    private void crashed(String target, long sentAt, Prompt prompt) {
        runs++;
        evidence.crashed(new Crash("r-" + runs, "h-" + runs % 3, target, prompt, sentAt, now), quarantined::contains);
    }

    private void answered(String target, String... parts) {
        evidence.answered("h-0", target, List.of(parts), now);
    }

    private void advance(long millis) {
        now += TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
