package org.tanagermoor.policy.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.policy.prompt.Prompt;

/**
 * Finds the mark of requests that crash each target that begins to answer them: a part of their prompt, or the content
 * of one request that is sent again and again. Designed for few such requests among many sound ones that share all
 * their other marks and are broken off by the same crashes.
 *
 * <p>An answered request acquits its marks. A mark is accused by crashes that followed one another: the next request
 * was sent when the crash before it was known. Many targets that are lost at once thus count as one crash. Crashes are
 * explained by a single mark, the one that the fewest requests hold. Not thread-safe.
 */
public final class CrashEvidence {

    /** The number of crashes that accuse a mark. Fewer than the fleet may suffer, since some evidence may be lost. */
    static final int MIN_CRASHES = 3;

    /** The number of different requests among those that accuse a part: a single one is itself the cause. */
    static final int MIN_REQUESTS = 2;

    /**
     * The number of answers to requests without the mark since its first crash: without any, targets fail for a reason
     * that has nothing to do with the mark. If only one instance reports the crashes, the answers must be its own, as
     * its link may be bad; all items of a job run at one instance.
     */
    static final int MIN_OTHER_ANSWERS = 3;

    /** The maximum number of suspected marks; the one of the least recent crash is dropped. */
    static final int MAX_SUSPECTS = 1_024;

    /** The maximum number of crashes that are kept for a mark. */
    private static final int MAX_CRASHES = 8;

    /** The maximum number of runs and targets that are remembered to recognize repeated reports. */
    private static final int MAX_REMEMBERED = 1_024;

    /** The age at which a crash is dropped, in nanoseconds. */
    private static final long RETENTION_NANOS = Duration.ofMinutes(10).toNanos();

    /** The time within which a target crashes only once, in nanoseconds: it needs longer to start again. */
    private static final long SAME_CRASH_NANOS = Duration.ofSeconds(2).toNanos();

    /**
     * How late the report of an answer may be that was complete before its target crashed, in nanoseconds. A target
     * that answers later, but before it can have started again, did not crash.
     */
    private static final long LATE_REPORT_NANOS = Duration.ofMillis(250).toNanos();

    /** The time before which a crashed target cannot have answered again, in nanoseconds. */
    private static final long RESTART_NANOS = Duration.ofMillis(1_500).toNanos();

    /** The suspected marks in the order of their last crashes. */
    private final Map<String, Suspect> suspects = bounded(MAX_SUSPECTS);

    /** The time in nanoseconds at which each target last crashed, by identity. */
    private final Map<String, Long> crashedAt = bounded(MAX_REMEMBERED);

    /** The time in nanoseconds of the last crash of a target that a quarantined mark explains, by identity. */
    private final Map<String, Long> explainedAt = bounded(MAX_REMEMBERED);

    /** The identities of the runs that have been reported. */
    private final Set<String> runs = Collections.newSetFromMap(bounded(MAX_REMEMBERED));

    /** The number of answered requests so far. */
    private long answers;

    /** The number of answered requests so far, by the instance that sent them. */
    private final Map<String, Long> answersByHolder = bounded(MAX_REMEMBERED);

    private CrashEvidence() {}

    /** Returns evidence without any crash. */
    public static CrashEvidence of() {
        return new CrashEvidence();
    }

    /**
     * Records a run that broke off when its target had just begun to answer it. One that was reported before is
     * ignored.
     *
     * @param crash The run.
     * @param quarantined Tells which marks are already known to crash targets.
     */
    public void crashed(Crash crash, Predicate<String> quarantined) {
        if (!runs.add(crash.run())) {
            return;
        }
        List<String> marks = crash.prompt().marks();
        if (marks.stream().anyMatch(quarantined)) {
            explain(crash.target(), crash.brokeAt());
            return;
        }
        if (within(explainedAt.get(crash.target()), crash.brokeAt(), SAME_CRASH_NANOS)) {
            return;
        }
        crashedAt.put(crash.target(), crash.brokeAt());
        Observation observation = new Observation(crash, answers, answersOf(crash.holder()));
        for (int position = 0; position < marks.size(); position++) {
            Suspect known = suspects.remove(marks.get(position));
            Suspect suspect = known == null ? new Suspect(different(crash.prompt(), marks.get(position))) : known;
            suspect.add(observation, position);
            suspects.put(marks.get(position), suspect);
        }
    }

    /** Returns what differs between different requests that have the given mark of a prompt. */
    private static Function<Prompt, String> different(Prompt prompt, String mark) {
        return prompt.shared().contains(mark) ? Prompt::own : Prompt::content;
    }

    /**
     * Records an answered request, which acquits its marks and shows that its target runs.
     *
     * @param holder The instance that sent the request.
     * @param target The identity of the target.
     * @param marks The marks of the prompt.
     * @param now The current monotonic time in nanoseconds.
     */
    public void answered(String holder, String target, List<String> marks, long now) {
        answers++;
        answersByHolder.merge(holder, 1L, Long::sum);
        if (suspects.isEmpty()) {
            return;
        }
        suspects.keySet().removeAll(new HashSet<>(marks));
        Long last = crashedAt.get(target);
        if (last != null && now - last >= LATE_REPORT_NANOS && now - last < RESTART_NANOS) {
            crashedAt.remove(target);
            withdraw(target, last);
        }
    }

    /**
     * Returns the mark that explains the crashes, if the evidence suffices.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The mark with its evidence.
     */
    public Optional<Accusation> accusation(long now) {
        return suspects.entrySet().stream()
                .filter(entry -> entry.getValue().crashedOften(minRequests(entry.getKey()), now))
                .filter(entry -> otherAnswers(entry.getValue()) >= MIN_OTHER_ANSWERS)
                .min(Comparator.<Map.Entry<String, Suspect>>comparingInt(entry -> entry.getValue().runs)
                        .thenComparing(entry -> -entry.getValue().position))
                .map(entry ->
                        new Accusation(entry.getKey(), entry.getValue().crashes(), otherAnswers(entry.getValue())));
    }

    private static int minRequests(String mark) {
        return mark.startsWith(Prompt.CONTENT_PREFIX) ? 1 : MIN_REQUESTS;
    }

    /** Returns the number of answers that show that targets, and the link of a single holder, work without the mark. */
    private long otherAnswers(Suspect suspect) {
        Observation first = suspect.observations.get(0);
        return distinct(suspect.crashes(), Crash::holder).size() == 1
                ? answersOf(first.crash.holder()) - first.holderAnswersBefore
                : answers - first.answersBefore;
    }

    private long answersOf(String holder) {
        return answersByHolder.getOrDefault(holder, 0L);
    }

    /** Drops the suspicion of other marks for crashes that an accused mark explains. */
    public void explain(Accusation accusation) {
        suspects.remove(accusation.mark());
        accusation.crashes().forEach(crash -> explain(crash.target(), crash.brokeAt()));
    }

    /** Records that a crash of a target is explained by a mark that is known. */
    private void explain(String target, long brokeAt) {
        explainedAt.put(target, brokeAt);
        withdraw(target, brokeAt);
    }

    /** Removes a crash of a target from all suspects. */
    private void withdraw(String target, long brokeAt) {
        Iterator<Suspect> iterator = suspects.values().iterator();
        while (iterator.hasNext()) {
            Suspect suspect = iterator.next();
            suspect.observations.removeIf(
                    observation -> observation.crash.target().equals(target)
                            && Math.abs(observation.crash.brokeAt() - brokeAt) < SAME_CRASH_NANOS);
            if (suspect.observations.isEmpty()) {
                iterator.remove();
            }
        }
    }

    /** Returns whether a time is known and differs from another one by less than the given nanoseconds. */
    private static boolean within(@Nullable Long time, long other, long nanos) {
        return time != null && Math.abs(other - time) < nanos;
    }

    private static <V> Map<String, V> bounded(int size) {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            /** {@inheritDoc} */
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
                return size() > size;
            }
        };
    }

    /**
     * A mark with the evidence against it.
     *
     * @param mark The mark.
     * @param crashes The crashes that followed one another.
     * @param otherAnswers The number of answers to requests without the mark meanwhile.
     */
    public record Accusation(String mark, List<Crash> crashes, long otherAnswers) {

        /** Describes the evidence for people. */
        public String evidence() {
            return "crashes of " + distinct(Crash::target) + " under requests of " + distinct(Crash::holder) + ", "
                    + otherAnswers + " answers without it meanwhile";
        }

        private Set<String> distinct(Function<Crash, String> property) {
            return CrashEvidence.distinct(crashes, property);
        }
    }

    private static Set<String> distinct(List<Crash> crashes, Function<Crash, String> property) {
        Set<String> result = new LinkedHashSet<>();
        crashes.forEach(crash -> result.add(property.apply(crash)));
        return result;
    }

    /**
     * A crash that accuses a mark.
     *
     * @param crash The run that broke off.
     * @param answersBefore The number of answered requests before it.
     * @param holderAnswersBefore The number of those that the holder of the run had sent.
     */
    private record Observation(Crash crash, long answersBefore, long holderAnswersBefore) {}

    /** A mark that no answered request has held since its first crash. */
    private static final class Suspect {

        /** What differs between different requests that have the mark. */
        private final Function<Prompt, String> different;

        /** The crashes that followed one another, in their order. */
        private final List<Observation> observations = new ArrayList<>();

        /** The number of broken runs with the mark. */
        private int runs;

        /** The last position at which a prompt has the mark. */
        private int position;

        Suspect(Function<Prompt, String> different) {
            this.different = different;
        }

        void add(Observation added, int at) {
            runs++;
            position = Math.max(position, at);
            observations.removeIf(earlier -> added.crash.brokeAt() - earlier.crash.brokeAt() > RETENTION_NANOS);
            boolean sequential =
                    observations.stream().allMatch(earlier -> added.crash.sentAt() - earlier.crash.brokeAt() > 0);
            if (sequential && observations.size() < MAX_CRASHES) {
                observations.add(added);
            }
        }

        List<Crash> crashes() {
            return observations.stream().map(Observation::crash).toList();
        }

        /** Returns whether enough crashes under different requests are recent enough to accuse the mark. */
        boolean crashedOften(int minRequests, long now) {
            return observations.size() >= MIN_CRASHES
                    && now - observations.get(0).crash.brokeAt() <= RETENTION_NANOS
                    && distinct(crashes(), crash -> different.apply(crash.prompt()))
                                    .size()
                            >= minRequests;
        }
    }
}
