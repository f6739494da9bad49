package org.tanagermoor.policy.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.policy.prompt.Prompt;

/** Which requests are let through while parts of prompts are held back. */
final class QuarantineTest {

    private static final Prompt PROMPT = new Prompt(List.of("first", "part"), "own", "request:1");

    private final Quarantine quarantine = Quarantine.of();

    private long now = TimeUnit.SECONDS.toNanos(100);

    /**
     * The part is refused, its last position and other parts are not, and one trial is due after each period. A sound
     * part that was held back for half a minute cost hundreds of requests; at most three with one that crashes targets
     * may reach them later than 3 s after the fifth crash.
     *
     * @param mark What is held back: a part, or the content of a request, which may crash three targets only.
     * @param crashes The number of crashes before.
     * @param periods The times in seconds between the trials.
     */
    @ParameterizedTest
    @CsvSource({
        "part, 3, 3 10 30 60 120",
        "part, 4, 3 30 60 120 240",
        "part, 5, 3 60 120 240",
        "part, 9, 3 60 120 240",
        "request:1, 3, 30 60 120",
        "request:1, 5, 30 60 120"
    })
    void letsOneRequestThroughAfterEachPeriod(String mark, int crashes, String periods) {
        quarantine.hold(mark, crashes, "evidence", now);
        assertThat(decide(new Prompt(List.of("first"), "part")), is(instanceOf(QuarantineDecision.Admitted.class)));
        for (long seconds :
                Arrays.stream(periods.split(" ")).mapToLong(Long::parseLong).toArray()) {
            advance(seconds - 1);
            assertThat(decide(PROMPT), is(instanceOf(QuarantineDecision.Refused.class)));
            advance(1);
            assertThat(decide(PROMPT), is(instanceOf(QuarantineDecision.TrialDue.class)));
            assertThat(quarantine.beginTrial(PROMPT, now), hasSize(1));
            assertThat(decide(PROMPT), is(instanceOf(QuarantineDecision.Refused.class)));
        }
    }

    /** A trial that no target ran taught nothing, but the next one came up to 60 s later. */
    @ParameterizedTest
    @ValueSource(ints = {3, 4, 5})
    void repeatsATrialThatNoTargetRanSoon(int crashes) {
        quarantine.hold("part", crashes, "evidence", now);
        QuarantineEntry before = quarantine.entries().iterator().next();
        advance(3);
        QuarantineEntry tried = quarantine.beginTrial(PROMPT, now).get(0);
        QuarantineEntry withdrawn =
                quarantine.withdrawTrial(List.of(tried), now).get(0);
        assertThat(withdrawn.trials(), is(before.trials()));
        assertThat(withdrawn.revision(), is(tried.revision() + 1));
        assertThat(decide(PROMPT), is(instanceOf(QuarantineDecision.Refused.class)));
        advance(1);
        assertThat(decide(PROMPT), is(instanceOf(QuarantineDecision.TrialDue.class)));
        assertThat(quarantine.withdrawTrial(List.of(tried), now), is(empty()));
        quarantine.release("part", "mended", now);
        assertThat(quarantine.withdrawTrial(List.of(withdrawn), now), is(empty()));
    }

    /** An answered trial releases the part; an answer to a request that was sent before the decision does not. */
    @ParameterizedTest
    @CsvSource({"0, true", "-1, false"})
    void releasesThePartWhenItIsAnswered(long sentAfterNanos, boolean released) {
        quarantine.hold("part", 3, "evidence", now);
        advance(30);
        quarantine.beginTrial(PROMPT, now);
        List<QuarantineEntry> entries = quarantine.answered(PROMPT.shared(), now + sentAfterNanos, now);
        assertThat(entries.isEmpty(), is(!released));
        assertThat(quarantine.holds("part"), is(!released));
    }

    /** The record with more decisions is valid at all instances, in whichever order they learn of them. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void convergesInAnyOrder(boolean heldFirst) {
        QuarantineEntry held = quarantine.hold("part", 3, "evidence", now);
        QuarantineEntry released = quarantine.release("part", "mended", now).orElseThrow();
        Quarantine other = Quarantine.of();
        other.merge(heldFirst ? held : released, now);
        other.merge(heldFirst ? released : held, now);
        assertThat(other.holds("part"), is(false));
        assertThat(other.merge(released, now), is(false));
        other.merge(quarantine.hold("part", 3, "again", now), now);
        assertThat(other.holds("part"), is(true));
    }

    /** Records are bounded in number and age, and aged ones are not learnt again. */
    @Test
    void forgetsAgedRecords() {
        for (int part = 0; part < 2 * Quarantine.MAX_ENTRIES; part++) {
            quarantine.hold("part-" + part, 3, "evidence", now + part);
        }
        assertThat(quarantine.entries().size(), is(lessThanOrEqualTo(Quarantine.MAX_ENTRIES)));
        List<QuarantineEntry> entries = List.copyOf(quarantine.entries());
        advance(TimeUnit.MINUTES.toSeconds(11));
        assertThat(quarantine.expire(now), hasSize(Quarantine.MAX_ENTRIES));
        entries.forEach(entry -> assertThat(quarantine.merge(entry, now), is(false)));
        assertThat(quarantine.entries(), is(empty()));
    }

    private QuarantineDecision decide(Prompt prompt) {
        return quarantine.decide(prompt, now);
    }

    private void advance(long seconds) {
        now += TimeUnit.SECONDS.toNanos(seconds);
    }
}
