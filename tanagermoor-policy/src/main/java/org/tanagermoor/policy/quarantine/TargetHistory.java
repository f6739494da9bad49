package org.tanagermoor.policy.quarantine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/**
 * What a target has recently done, which tells a target that crashed from one that breaks runs off without crashing.
 * Designed for a few targets that reset connections or break answers off while they accept further ones. Times may be
 * recorded in any order. Not thread-safe.
 */
final class TargetHistory {

    /**
     * How late the report of a run may be that ended before the crash of its target, in nanoseconds, and how soon after
     * a crash a connection may still be given out that the crash has closed.
     */
    private static final long LATE_REPORT_NANOS = Duration.ofMillis(250).toNanos();

    /** The time within which a crashed target cannot have started again, in nanoseconds. */
    private static final long RESTART_NANOS = Duration.ofMillis(1_500).toNanos();

    /** The time within which all runs that one crash breaks off are reported, in nanoseconds. */
    private static final long SAME_MOMENT_NANOS = Duration.ofMillis(500).toNanos();

    /** How long before or after a crash other runs that broke off show a fault of the target, in nanoseconds. */
    private static final long FAULT_NANOS = Duration.ofSeconds(10).toNanos();

    /**
     * The minimum time between the ends of two runs that are recorded as signs of life, in nanoseconds. A quarter of
     * the time in which they count, so that none that matters is left out.
     */
    private static final long LIFE_SPACING_NANOS = Duration.ofMillis(200).toNanos();

    /** The maximum number of signs of life; enough for the time within which a report may be late. */
    private static final int MAX_LIVES = 64;

    /** The maximum number of moments at which runs broke off. */
    private static final int MAX_MOMENTS = 16;

    private final Deque<Life> lives = new ArrayDeque<>();

    private final Deque<Moment> moments = new ArrayDeque<>();

    /**
     * Records that the target did something which it cannot do while it is down.
     *
     * @param from The monotonic time in nanoseconds after which it did it.
     * @param until The monotonic time in nanoseconds before which it did it.
     */
    void lived(long from, long until) {
        Life last = lives.peekLast();
        boolean known = last != null && from - last.from >= 0 && Math.abs(until - last.until) < LIFE_SPACING_NANOS;
        if (!known) {
            lives.addLast(new Life(from, until));
            if (lives.size() > MAX_LIVES) {
                lives.removeFirst();
            }
        }
    }

    /**
     * Records that the target began to answer a request. Unlike a request that failed without an answer, it cannot have
     * been sent on a connection that an earlier crash had closed.
     *
     * @param sentAt The monotonic time in nanoseconds at which the request was sent.
     * @param until The monotonic time in nanoseconds before which the answer began.
     */
    void answeredAfter(long sentAt, long until) {
        lived(sentAt + LATE_REPORT_NANOS, until);
    }

    /** Records that a run with the given marks broke off at a monotonic time in nanoseconds. */
    void brokeOff(Collection<String> marks, long at) {
        for (Moment moment : moments) {
            if (Math.abs(moment.at - at) <= SAME_MOMENT_NANOS) {
                moment.marks.addAll(marks);
                return;
            }
        }
        moments.addLast(new Moment(at, new HashSet<>(marks)));
        if (moments.size() > MAX_MOMENTS) {
            moments.removeFirst();
        }
    }

    /** Drops the runs that broke off by a crash whose cause is known. */
    void explained(long at) {
        moments.removeIf(moment -> Math.abs(moment.at - at) <= SAME_MOMENT_NANOS);
    }

    /** Returns whether the target was up before it can have started again after a crash at the given time. */
    boolean livedAfter(long crashedAt) {
        return lives.stream()
                .anyMatch(life -> life.from - crashedAt >= LATE_REPORT_NANOS && life.until - crashedAt < RESTART_NANOS);
    }

    /**
     * Returns whether the target has a fault of its own around the time of a crash: it broke off runs without a mark at
     * another moment, or was up too soon after it broke off runs.
     */
    boolean faulty(String mark, long crashedAt) {
        return moments.stream().anyMatch(moment -> {
            long apart = Math.abs(moment.at - crashedAt);
            boolean another = apart > SAME_MOMENT_NANOS && !moment.marks.contains(mark);
            return apart <= FAULT_NANOS && (another || livedAfter(moment.at));
        });
    }

    /**
     * Something that a target did between two times.
     *
     * @param from The monotonic time in nanoseconds after which it did it.
     * @param until The monotonic time in nanoseconds before which it did it.
     */
    private record Life(long from, long until) {}

    /**
     * Runs that broke off together.
     *
     * @param at The monotonic time in nanoseconds at which the first of them was reported.
     * @param marks The marks of their prompts.
     */
    private record Moment(long at, Set<String> marks) {}
}
