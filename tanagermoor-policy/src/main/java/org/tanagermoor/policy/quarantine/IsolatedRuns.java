package org.tanagermoor.policy.quarantine;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * The runs of suspects of a service: requests that must be run although a mark of their prompts is held back. They run
 * at a target that is reserved for them, so that a crash costs no other request, and each is offered a run within a
 * bounded time. First one runs at a time, so that its end says whether its marks crash targets; when this has been seen
 * for two different requests, all that have the mark run together. One target at a time is reserved. Not thread-safe.
 */
public final class IsolatedRuns {

    /**
     * The time in nanoseconds that the other requests of a reserved target may take to end. It doubles with each target
     * that is given up in vain, so that one is free in the end however long requests last.
     */
    static final long MAX_DRAIN_NANOS = Duration.ofSeconds(10).toNanos();

    /** The time in nanoseconds beyond which that time does not grow. */
    private static final long LONGEST_DRAIN_NANOS = Duration.ofHours(1).toNanos();

    /** The maximum time in nanoseconds for which a suspect waits because online requests need all targets. */
    static final long MAX_DEFERRAL_NANOS = Duration.ofSeconds(5).toNanos();

    /** The time in nanoseconds for which suspects of which nothing is to be learnt wait for others to run with. */
    static final long GATHER_NANOS = Duration.ofSeconds(2).toNanos();

    /**
     * The time from a crash to the next reservation, in nanoseconds: a target needs it to start again. A mark that is
     * new among the suspects counts as a crash, since those that accused it have just happened.
     */
    static final long RESTART_NANOS = Duration.ofSeconds(3).toNanos();

    /**
     * The same if more suspects wait than fit into a target, or one has waited for {@link #MAX_DEFERRAL_NANOS}: some
     * targets more may then be down.
     */
    static final long BACKLOG_PAUSE_NANOS = Duration.ofMillis(1_500).toNanos();

    /**
     * The number of targets from which on this is so: with two that start again and one that is reserved, more than
     * half of the targets are left to online requests.
     */
    static final int BACKLOG_TARGETS = 7;

    /**
     * The time in nanoseconds after which a run that is alone at its target shows that the target bears it so far: a
     * target that cannot bear a prompt crashes when it reads it or makes the first event.
     */
    static final long SURVIVAL_NANOS = Duration.ofSeconds(2).toNanos();

    /** The time in nanoseconds for which a target that failed a suspect is passed over. */
    static final long AVOID_NANOS = Duration.ofSeconds(30).toNanos();

    /** The number of different requests with a mark that must have crashed targets before others run together. */
    static final int CONFIRMING_REQUESTS = 2;

    /** The part of the time for one attempt after which a suspect asks again; the rest is for its wait. */
    private static final double PAUSE_FRACTION = 0.8;

    /** The maximum number of marks that are remembered. */
    private static final int MAX_MARKS = 256;

    /** The order in which targets are reserved. */
    private static final Comparator<Target> PREFERENCE = Comparator.comparing(Target::doubtful)
            .thenComparingInt(Target::online)
            .thenComparingInt(Target::inUse);

    /** The identity of the reserved target, or {@code null}. */
    @Nullable
    private String target;

    /** The monotonic time of the reservation in nanoseconds. */
    private long reservedAt;

    /** The time in nanoseconds that the other requests of the reserved target may take to end. */
    private long maxDrainNanos = MAX_DRAIN_NANOS;

    /** Whether all other requests of the reserved target have ended. */
    private boolean alone;

    /** Whether the reservation ends when the runs at the target have ended, and why; {@code null} if it does not. */
    @Nullable
    private String endReason;

    /** The time of the last crash in nanoseconds, or {@code null}. */
    @Nullable
    private Long crashedAt;

    /** The runs at the reserved target, by identity. */
    private final Map<String, Running> running = new LinkedHashMap<>();

    /** The requests that crashed their target when they were alone there, by held mark. */
    private final Map<String, Set<String>> crashed = bounded();

    /** The held marks that suspects have had. */
    private final Map<String, Long> seenAt = bounded();

    /** When each target failed a suspect, in nanoseconds, by identity. */
    private final Map<String, Long> failedAt = bounded();

    private IsolatedRuns() {}

    /** Returns the runs of a service without suspects. */
    public static IsolatedRuns of() {
        return new IsolatedRuns();
    }

    /**
     * Returns the time from a run of a suspect that failed to its next ask, in nanoseconds. It bounds the number of
     * crashes that a request can cause, and leaves some of the time for one attempt to the wait for its turn.
     *
     * @param totalNanos The time for all attempts, in nanoseconds.
     * @param attempts The number of attempts.
     */
    public static long pauseNanos(long totalNanos, int attempts) {
        return (long) (PAUSE_FRACTION * totalNanos / Math.max(1, attempts));
    }

    /** Returns whether no target is reserved. */
    public boolean isIdle() {
        return target == null;
    }

    /** Returns whether a run with the given identity is one at the reserved target. */
    public boolean runs(String run) {
        return running.containsKey(run);
    }

    /**
     * Decides what to do next. The decision counts as carried out.
     *
     * @param waiting The suspects that wait.
     * @param targets The targets that can be used, among them the reserved one if it still can.
     * @param demand What online requests need.
     * @param held Tells whether a mark is still held back.
     * @param now The current monotonic time in nanoseconds.
     * @return The step; to be asked for again unless it is {@link IsolationStep.Wait}.
     */
    public IsolationStep next(
            Collection<Suspect> waiting, Collection<Target> targets, Demand demand, Predicate<String> held, long now) {
        running.values().removeIf(run -> run.suspect.marks().stream().noneMatch(held));
        seenAt.keySet().removeIf(mark -> !held.test(mark));
        for (Suspect suspect : waiting) {
            for (String mark : suspect.marks()) {
                if (seenAt.putIfAbsent(mark, now) == null) {
                    crashedAt = now;
                }
            }
        }
        List<Suspect> suspects = waiting.stream()
                .sorted(Comparator.comparingLong(suspect -> suspect.since() - now))
                .toList();
        return target == null ? reserve(suspects, targets, demand, now) : use(target, suspects, targets, now);
    }

    private IsolationStep reserve(List<Suspect> suspects, Collection<Target> targets, Demand demand, long now) {
        if (suspects.isEmpty() || targets.size() < 2) {
            return new IsolationStep.Wait();
        }
        Suspect first = suspects.get(0);
        boolean overdue = now - first.since() >= MAX_DEFERRAL_NANOS;
        boolean fitting = targets.stream().mapToInt(Target::places).allMatch(places -> places > suspects.size());
        if (confirmed(first.marks()) && now - first.since() < GATHER_NANOS && fitting) {
            return new IsolationStep.Wait();
        }
        boolean backlog = (overdue || !fitting) && targets.size() >= BACKLOG_TARGETS;
        long pauseNanos = backlog ? BACKLOG_PAUSE_NANOS : RESTART_NANOS;
        if (crashedAt != null && now - crashedAt < pauseNanos) {
            return new IsolationStep.Wait();
        }
        Optional<Target> chosen = targets.stream()
                .filter(candidate -> suspects.stream()
                        .anyMatch(suspect -> !suspect.excluded().contains(candidate.id())))
                .filter(candidate -> overdue || (!demand.waiting() && candidate.places() <= demand.sparePlaces()))
                .min(Comparator.<Target, Boolean>comparing(
                                candidate -> first.excluded().contains(candidate.id()))
                        .thenComparingLong(candidate -> avoidedNanos(candidate.id(), now))
                        .thenComparing(PREFERENCE));
        if (chosen.isEmpty()) {
            return new IsolationStep.Wait();
        }
        target = chosen.get().id();
        reservedAt = now;
        alone = false;
        endReason = null;
        return new IsolationStep.Reserve(chosen.get().id());
    }

    /** Returns for how much longer a target is passed over, in nanoseconds. */
    private long avoidedNanos(String id, long now) {
        Long failed = failedAt.get(id);
        return failed == null ? 0 : Math.max(0, failed + AVOID_NANOS - now);
    }

    private IsolationStep use(String reserved, List<Suspect> suspects, Collection<Target> targets, long now) {
        Optional<Target> current = targets.stream()
                .filter(candidate -> candidate.reserved() && candidate.id().equals(reserved))
                .findFirst();
        if (running.isEmpty() && endReason != null) {
            return release(reserved, endReason);
        }
        if (current.isEmpty()) {
            return running.isEmpty() ? release(reserved, "the target cannot be used") : new IsolationStep.Wait();
        }
        if (running.isEmpty() && suspects.isEmpty()) {
            return release(reserved, "no suspect waits");
        }
        if (running.isEmpty() && targets.size() < 2) {
            return release(reserved, "no other target can be used");
        }
        if (endReason != null || targets.size() < 2) {
            return new IsolationStep.Wait();
        }
        if (!alone && current.get().inUse() > 0) {
            if (now - reservedAt <= maxDrainNanos) {
                return new IsolationStep.Wait();
            }
            maxDrainNanos = Math.min(2 * maxDrainNanos, LONGEST_DRAIN_NANOS);
            failedAt.put(reserved, now);
            return release(reserved, "its other requests did not end");
        }
        alone = true;
        maxDrainNanos = MAX_DRAIN_NANOS;
        return run(reserved, suspects, current.get(), now);
    }

    private IsolationStep run(String reserved, List<Suspect> suspects, Target current, long now) {
        List<Suspect> able = suspects.stream()
                .filter(suspect -> !suspect.excluded().contains(reserved))
                .toList();
        if (able.isEmpty()) {
            return running.isEmpty() ? release(reserved, "no suspect may run there") : new IsolationStep.Wait();
        }
        Suspect leader =
                running.isEmpty() ? able.get(0) : running.values().iterator().next().suspect;
        Set<String> common = new HashSet<>(leader.marks());
        boolean survived =
                !running.isEmpty() && running.values().stream().allMatch(run -> now - run.startedAt >= SURVIVAL_NANOS);
        if (!survived) {
            common.removeIf(mark -> !confirmed(List.of(mark)));
        }
        int places =
                Math.min(current.admitted(), Math.max(running.isEmpty() ? 1 : 0, current.places() - current.inUse()));
        if (places <= 0) {
            return new IsolationStep.Wait();
        }
        List<Suspect> chosen = common.isEmpty()
                ? (running.isEmpty() ? List.of(leader) : List.of())
                : able.stream()
                        .filter(suspect -> suspect.marks().stream().anyMatch(common::contains))
                        .limit(places)
                        .toList();
        if (chosen.isEmpty()) {
            return new IsolationStep.Wait();
        }
        boolean single = running.isEmpty() && chosen.size() == 1;
        running.values().forEach(run -> run.single = false);
        chosen.forEach(suspect -> running.put(suspect.run(), new Running(suspect, now, single)));
        return new IsolationStep.Run(reserved, chosen.stream().map(Suspect::run).toList());
    }

    private IsolationStep release(String reserved, String reason) {
        target = null;
        return new IsolationStep.Release(reserved, reason);
    }

    /**
     * Records how a run at the reserved target ended.
     *
     * @param run The identity of the run.
     * @param end How it ended.
     * @param now The current monotonic time in nanoseconds.
     * @return What is learnt from it; empty if it is not known.
     */
    public Optional<Verdict> ended(String run, IsolationEnd end, long now) {
        Running ended = running.remove(run);
        if (ended == null || target == null) {
            return Optional.empty();
        }
        switch (end) {
            case ANSWERED -> crashed.keySet().removeAll(ended.suspect.marks());
            case CRASHED -> {
                if (ended.single) {
                    ended.suspect
                            .marks()
                            .forEach(mark -> crashed.computeIfAbsent(mark, name -> new HashSet<>())
                                    .add(ended.suspect.request()));
                }
                crashedAt = now;
                fail(target, "the target crashed", now);
            }
            case FAILED -> fail(target, "a run failed", now);
            case NOT_RUN -> fail(target, "the target did not run a request", now);
            default -> {}
        }
        List<String> marks = ended.suspect.marks();
        return Optional.of(new Verdict(target, end, ended.single, confirmed(marks), marks));
    }

    /** Returns whether crashes have confirmed that one of some marks crashes targets. */
    private boolean confirmed(List<String> marks) {
        return marks.stream()
                .anyMatch(mark -> crashed.getOrDefault(mark, Set.of()).size() >= CONFIRMING_REQUESTS);
    }

    private void fail(String failed, String reason, long now) {
        failedAt.put(failed, now);
        endReason = reason;
    }

    private static <V> Map<String, V> bounded() {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            /** {@inheritDoc} */
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
                return size() > MAX_MARKS;
            }
        };
    }

    /**
     * A request that must be run although marks of its prompt are held back.
     *
     * @param run The identity of the run that it waits for.
     * @param request What tells it from other requests with the same marks.
     * @param marks The marks of its prompt that are held back.
     * @param excluded The identities of targets at which it must not run.
     * @param since The monotonic time in nanoseconds since which it waits.
     */
    public record Suspect(String run, String request, List<String> marks, Set<String> excluded, long since) {}

    /**
     * A target that can be used.
     *
     * @param id Its identity.
     * @param online The number of its places that online requests use.
     * @param inUse The number of its places in use.
     * @param places The number of its places.
     * @param admitted The number of further requests that its rate admits now.
     * @param reserved Whether it is still reserved; one that has started again is not.
     * @param doubtful Whether others are preferable.
     */
    public record Target(
            String id, int online, int inUse, int places, int admitted, boolean reserved, boolean doubtful) {}

    /**
     * What online requests need.
     *
     * @param waiting Whether any waits for a place.
     * @param sparePlaces The number of places that they do not use.
     */
    public record Demand(boolean waiting, int sparePlaces) {}

    /**
     * What a run at a reserved target shows.
     *
     * @param target The identity of the target.
     * @param end How the run ended.
     * @param single Whether it was alone at the target.
     * @param confirmed Whether crashes have confirmed that one of the marks crashes targets.
     * @param marks The marks that were held back.
     */
    public record Verdict(String target, IsolationEnd end, boolean single, boolean confirmed, List<String> marks) {}

    /** A run at the reserved target. */
    private static final class Running {

        private final Suspect suspect;

        /** The monotonic time at which it started, in nanoseconds. */
        private final long startedAt;

        /** Whether it has been the only one. */
        private boolean single;

        Running(Suspect suspect, long startedAt, boolean single) {
            this.suspect = suspect;
            this.startedAt = startedAt;
            this.single = single;
        }
    }
}
