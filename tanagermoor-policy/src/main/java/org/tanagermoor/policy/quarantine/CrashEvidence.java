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
 * explained by a single mark, the one that the fewest requests hold.
 *
 * <p>Targets with a fault of their own break off sound requests: they reset connections, break answers off, or go down
 * and up. A target that was up before it can have started again did not crash. One that broke off requests without the
 * mark at another moment may have crashed for a fault of its own, so that more crashes are needed. A part that was
 * often answered before is accused only when the answers fail to come. The order of the reports does not matter. Not
 * thread-safe.
 */
public final class CrashEvidence {

    /** The number of crashes that accuse a mark. Fewer than the fleet may suffer, since some evidence may be lost. */
    static final int MIN_CRASHES = 3;

    /**
     * The number of crashes that accuse a mark if some of them may be faults of the targets, or if requests with it
     * were answered shortly before: the most that the fleet may suffer.
     */
    static final int MIN_DOUBTFUL_CRASHES = 5;

    /** The number of different requests among those that accuse a part: a single one is itself the cause. */
    static final int MIN_REQUESTS = 2;

    /** The number of different requests that accuse a part with few crashes, or with doubtful ones. */
    private static final int MIN_REQUESTS_IN_DOUBT = 3;

    /**
     * The number of answers to requests with a part that would have come since its first crash at the rate before. With
     * 5, the chance that none comes of a sound part is below 0.01.
     */
    private static final double MIN_MISSING_ANSWERS = 5;

    /** The same for a part with more crashes; fewer, so that a part that begins to crash targets is found in time. */
    private static final double MIN_MISSING_IN_DOUBT = 2.5;

    /**
     * The number of answers to requests without the mark since its first crash: without any, targets fail for a reason
     * that has nothing to do with the mark. If only one instance reports the crashes, the answers must be its own, as
     * its link may be bad; all items of a job run at one instance.
     */
    static final int MIN_OTHER_ANSWERS = 3;

    /** The maximum number of suspected marks; the one of the least recent crash is dropped. */
    static final int MAX_SUSPECTS = 1_024;

    /** The maximum number of crashes that are kept for a mark; the one that was reported first is dropped. */
    private static final int MAX_CRASHES = 64;

    /** The maximum number of runs and targets that are remembered. */
    private static final int MAX_REMEMBERED = 1_024;

    /** The maximum number of parts whose answers are counted. */
    private static final int MAX_ANSWERED = 4_096;

    /** The age at which a crash is dropped, in nanoseconds. */
    private static final long RETENTION_NANOS = Duration.ofMinutes(10).toNanos();

    /** The time within which a target crashes only once, in nanoseconds: it needs longer to start again. */
    private static final long SAME_CRASH_NANOS = Duration.ofSeconds(2).toNanos();

    /**
     * The maximum time in nanoseconds after which a run that failed was broken off by its target; one that failed later
     * may have met a deadline.
     */
    private static final long MAX_BREAK_NANOS = Duration.ofSeconds(1).toNanos();

    /** The suspected marks in the order of their last crashes. */
    private final Map<String, Suspect> suspects = bounded(MAX_SUSPECTS);

    /** What each target has done, by identity. */
    private final Map<String, TargetHistory> histories = bounded(MAX_REMEMBERED);

    /** How often requests with each part were answered. */
    private final Map<String, AnswerRate> answered = bounded(MAX_ANSWERED);

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
        history(crash.target()).brokeOff(marks, crash.brokeAt());
        history(crash.target()).answeredAfter(crash.sentAt(), crash.brokeAt());
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
        history(target).lived(now, now);
        for (String mark : marks) {
            if (mark.indexOf(':') < 0) {
                answered.computeIfAbsent(mark, name -> new AnswerRate()).add(now);
            }
        }
        if (!suspects.isEmpty()) {
            suspects.keySet().removeAll(new HashSet<>(marks));
        }
    }

    /**
     * Records a run that failed, but not as a crash makes it fail.
     *
     * @param target The identity of the target.
     * @param marks The marks of the prompt.
     * @param sentAt The monotonic time at which the request was sent, in nanoseconds.
     * @param now The current monotonic time in nanoseconds.
     */
    public void failed(String target, List<String> marks, long sentAt, long now) {
        history(target).lived(sentAt, now);
        if (now - sentAt <= MAX_BREAK_NANOS) {
            history(target).brokeOff(marks, now);
        }
    }

    /**
     * Records that a target answered that it did not run a request.
     *
     * @param target The identity of the target.
     * @param sentAt The monotonic time at which the request was sent, in nanoseconds.
     * @param now The current monotonic time in nanoseconds.
     */
    public void declined(String target, long sentAt, long now) {
        history(target).lived(sentAt, now);
    }

    private TargetHistory history(String target) {
        return histories.computeIfAbsent(target, name -> new TargetHistory());
    }

    /**
     * Returns the mark that explains the crashes, if the evidence suffices.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The mark with its evidence.
     */
    public Optional<Accusation> accusation(long now) {
        return suspects.entrySet().stream()
                .filter(entry -> entry.getValue().observations.size() >= MIN_CRASHES)
                .map(entry ->
                        new Charge(entry.getKey(), entry.getValue(), accusing(entry.getKey(), entry.getValue(), now)))
                .filter(charge -> !charge.crashes.isEmpty() && otherAnswers(charge.crashes) >= MIN_OTHER_ANSWERS)
                .min(Comparator.<Charge>comparingInt(charge -> charge.suspect.runs)
                        .thenComparing(charge -> -charge.suspect.position))
                .map(charge -> new Accusation(
                        charge.mark, crashes(charge.crashes), charge.suspect.targets(), otherAnswers(charge.crashes)));
    }

    /** Returns the crashes that accuse a mark; none if they do not suffice. */
    private List<Observation> accusing(String mark, Suspect suspect, long now) {
        List<Observation> crashed = suspect.observations.stream()
                .filter(observation ->
                        now - observation.crash.brokeAt() <= RETENTION_NANOS && !targetLived(observation))
                .toList();
        List<Observation> crashes = sequence(crashed);
        if (crashes.size() < MIN_CRASHES) {
            return List.of();
        }
        int requests = mark.startsWith(Prompt.CONTENT_PREFIX) ? 1 : MIN_REQUESTS_IN_DOUBT;
        List<Observation> certain = crashed.stream()
                .filter(observation -> !targetFaulty(mark, observation))
                .toList();
        List<Observation> certainCrashes = sequence(certain);
        if (certainCrashes.size() >= MIN_CRASHES
                && suspect.requests(certain)
                        >= (certainCrashes.size() > MIN_CRASHES ? Math.min(MIN_REQUESTS, requests) : requests)
                && missingAnswers(mark, certainCrashes.get(0).crash.brokeAt(), now) >= MIN_MISSING_ANSWERS) {
            return certainCrashes;
        }
        boolean sufficesInDoubt = crashes.size() >= MIN_DOUBTFUL_CRASHES
                && suspect.requests(crashed) >= requests
                && missingAnswers(mark, crashes.get(0).crash.brokeAt(), now) >= MIN_MISSING_IN_DOUBT;
        return sufficesInDoubt ? crashes : List.of();
    }

    /** Returns the crashes of some runs that followed one another, in their order. */
    private static List<Observation> sequence(List<Observation> runs) {
        List<Observation> sequence = new ArrayList<>();
        runs.stream()
                .sorted((one, other) -> Long.compare(one.crash.brokeAt() - other.crash.brokeAt(), 0))
                .forEach(next -> {
                    if (sequence.isEmpty()
                            || next.crash.sentAt()
                                            - sequence.get(sequence.size() - 1)
                                                    .crash
                                                    .brokeAt()
                                    > 0) {
                        sequence.add(next);
                    }
                });
        return sequence;
    }

    /** Returns whether the target of a run that broke off was up too soon to have crashed. */
    private boolean targetLived(Observation observation) {
        TargetHistory history = histories.get(observation.crash.target());
        return history != null && history.livedAfter(observation.crash.brokeAt());
    }

    /** Returns whether the target of a run that broke off has a fault of its own. */
    private boolean targetFaulty(String mark, Observation observation) {
        TargetHistory history = histories.get(observation.crash.target());
        return history != null && history.faulty(mark, observation.crash.brokeAt());
    }

    /**
     * Returns the number of answers to requests with a part that would have come since a time if it were sound;
     * infinite if requests with it were hardly answered before.
     */
    private double missingAnswers(String mark, long since, long now) {
        AnswerRate rate = answered.get(mark);
        return rate == null || !rate.frequent(since) ? Double.POSITIVE_INFINITY : rate.perNano(since) * (now - since);
    }

    /** Returns the number of answers that show that targets, and the link of a single holder, work without the mark. */
    private long otherAnswers(List<Observation> observations) {
        Observation first = observations.get(0);
        return distinct(crashes(observations), Crash::holder).size() == 1
                ? answersOf(first.crash.holder()) - first.holderAnswersBefore
                : answers - first.answersBefore;
    }

    private static List<Crash> crashes(List<Observation> observations) {
        return observations.stream().map(Observation::crash).toList();
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
        history(target).explained(brokeAt);
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
     * @param targets The number of targets that broke off requests with the mark, those that crashed together included.
     * @param otherAnswers The number of answers to requests without the mark meanwhile.
     */
    public record Accusation(String mark, List<Crash> crashes, int targets, long otherAnswers) {

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

    /**
     * The crashes that accuse a mark.
     *
     * @param mark The mark.
     * @param suspect What is known of it.
     * @param crashes The crashes that followed one another; none if they do not suffice.
     */
    private record Charge(String mark, Suspect suspect, List<Observation> crashes) {}

    /** How often requests with a part were answered, with less weight for earlier answers. */
    private static final class AnswerRate {

        /** The time in nanoseconds in which the weight of an answer falls to 1/e. */
        private static final double MEAN_NANOS = Duration.ofSeconds(10).toNanos();

        /** The minimum weight of the answers from which a rate is taken. */
        private static final double MIN_WEIGHT = 2;

        private double weight;

        private long lastAt;

        void add(long now) {
            weight = weight(now) + 1;
            lastAt = now;
        }

        boolean frequent(long now) {
            return weight(now) >= MIN_WEIGHT;
        }

        double perNano(long now) {
            return weight(now) / MEAN_NANOS;
        }

        private double weight(long now) {
            return weight * Math.exp(-Math.max(0, now - lastAt) / MEAN_NANOS);
        }
    }

    /** A mark that no answered request has held since its first crash. */
    private static final class Suspect {

        /** What differs between different requests that have the mark. */
        private final Function<Prompt, String> different;

        /** The broken runs with the mark, in the order of the reports. */
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
            observations.add(added);
            if (observations.size() > MAX_CRASHES) {
                observations.remove(0);
            }
        }

        /** Returns the number of targets that broke off runs with the mark. */
        int targets() {
            return distinct(crashes(observations), Crash::target).size();
        }

        /** Returns the number of different requests among some runs. */
        int requests(List<Observation> counted) {
            return distinct(crashes(counted), crash -> different.apply(crash.prompt()))
                    .size();
        }
    }
}
