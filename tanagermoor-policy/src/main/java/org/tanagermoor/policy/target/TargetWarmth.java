package org.tanagermoor.policy.target;

import java.util.LinkedHashSet;
import java.util.Set;
import org.tanagermoor.policy.configuration.Target;

/**
 * The warm-up state of a target, as its steward tracks it. A target is cold after a restart or reload; its capacity
 * then rises from the cold to the full capacity during its warm-up time. Not thread-safe.
 */
final class TargetWarmth {

    /** The factor over their moving average from which first-token times indicate that a target has turned cold. */
    private static final double FIRST_TOKEN_RISE_FACTOR = 4;

    /** The minimum number of first tokens, both in the moving average and in a report, to compare their times. */
    private static final int MIN_FIRST_TOKENS = 8;

    /** The weight of a report in the moving average of first-token times. */
    private static final double SMOOTHING = 0.05;

    /**
     * The maximum number of former start marks to remember, so that a late answer from before a restart is not mistaken
     * for another restart.
     */
    private static final int MAX_FORMER_MARKS = 8;

    /** The number of nanoseconds in a millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The current start mark, or empty text if none is known. A target chooses a new one each time it starts. */
    private String mark = "";

    private final Set<String> formerMarks = new LinkedHashSet<>();

    /** The monotonic time at which the warm-up of the target started, in nanoseconds. */
    private long startedAt;

    /** The monotonic time at which the target was last marked cold without a new start mark, in nanoseconds. */
    private long markedColdAt = Long.MIN_VALUE;

    /** The monotonic time of the last reset that has no known cause yet, in nanoseconds. */
    private long unexplainedResetAt;

    /** Whether a reset was reported, and no load report made after it has shown yet whether the target restarted. */
    private boolean hasUnexplainedReset;

    /** The moving average of first-token times in milliseconds. */
    private double meanFirstTokenMillis;

    /** The number of first tokens in the moving average, counted up to the minimum. */
    private int tokenCount;

    /**
     * Creates the state of a target that counts as cold.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    TargetWarmth(long now) {
        startedAt = now;
        unexplainedResetAt = now;
    }

    /**
     * Returns the current capacity, as far as the target has warmed up.
     *
     * @param target The target.
     * @param now The current monotonic time in nanoseconds.
     * @return The number of requests that the target can run at once.
     */
    int capacity(Target target, long now) {
        if (hasUnexplainedReset) {
            return target.coldCapacity();
        }
        double warmFraction = target.warmUpMillis() <= 0
                ? 1
                : Math.clamp((double) (now - startedAt) / (target.warmUpMillis() * NANOS_PER_MILLI), 0, 1);
        return target.coldCapacity() + (int) ((target.capacity() - target.coldCapacity()) * warmFraction);
    }

    /**
     * Records the signs of cold that an instance reported.
     *
     * @param coldSigns The signs.
     * @param now The current monotonic time in nanoseconds.
     * @return Whether the target counts as cold because of them.
     */
    boolean recordSigns(PermitReport.ColdSigns coldSigns, long now) {
        boolean becameCold = recordStartMark(coldSigns.mark(), now);
        if (!coldSigns.mark().isEmpty() && coldSigns.mark().equals(mark) && coldSigns.warmMillis() >= 0) {
            long reportedStartAt = now - coldSigns.warmMillis() * NANOS_PER_MILLI;
            startedAt = Math.min(startedAt, Math.max(reportedStartAt, markedColdAt));
        }
        if (coldSigns.resets() > 0) {
            becameCold |= !hasUnexplainedReset;
            hasUnexplainedReset = true;
            unexplainedResetAt = now;
        }
        return recordFirstTokens(coldSigns, now) || becameCold;
    }

    /**
     * Records a load report.
     *
     * @param observedMark The start mark in it, or empty text.
     * @param sampledAt The monotonic time at which it was made, in nanoseconds.
     * @param now The current monotonic time in nanoseconds.
     * @return Whether the target counts as cold because of it.
     */
    boolean recordLoad(String observedMark, long sampledAt, long now) {
        boolean becameCold = recordStartMark(observedMark, now);
        if (hasUnexplainedReset && sampledAt - unexplainedResetAt > 0) {
            hasUnexplainedReset = false;
        }
        return becameCold;
    }

    /** Returns the current start mark, or empty text if none is known. */
    String mark() {
        return mark;
    }

    /**
     * Returns the time since the warm-up started.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The time in milliseconds, 0 while a reset is unexplained.
     */
    long warmMillis(long now) {
        return hasUnexplainedReset ? 0 : Math.max(0, now - startedAt) / NANOS_PER_MILLI;
    }

    /**
     * Restarts the warm-up, because the target was reloaded without a new start mark.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    void markCold(long now) {
        startedAt = now;
        markedColdAt = now;
        tokenCount = 0;
    }

    /**
     * Records a start mark.
     *
     * @param observedMark The start mark, or empty text.
     * @param now The current monotonic time in nanoseconds.
     * @return Whether the start mark is new, which means that the target restarted.
     */
    private boolean recordStartMark(String observedMark, long now) {
        if (observedMark.isEmpty() || observedMark.equals(mark) || formerMarks.contains(observedMark)) {
            return false;
        }
        if (!mark.isEmpty()) {
            formerMarks.add(mark);
            if (formerMarks.size() > MAX_FORMER_MARKS) {
                formerMarks.remove(formerMarks.iterator().next());
            }
        }
        mark = observedMark;
        startedAt = now;
        return true;
    }

    /**
     * Records the first-token times of a report.
     *
     * @param coldSigns The signs.
     * @param now The current monotonic time in nanoseconds.
     * @return Whether the times rose so much that the target counts as cold.
     */
    private boolean recordFirstTokens(PermitReport.ColdSigns coldSigns, long now) {
        if (coldSigns.firstTokens() == 0) {
            return false;
        }
        double millis = (double) coldSigns.firstTokenMillis() / coldSigns.firstTokens();
        boolean roseSharply = tokenCount >= MIN_FIRST_TOKENS
                && coldSigns.firstTokens() >= MIN_FIRST_TOKENS
                && millis > FIRST_TOKEN_RISE_FACTOR * meanFirstTokenMillis;
        meanFirstTokenMillis =
                tokenCount == 0 ? millis : meanFirstTokenMillis + SMOOTHING * (millis - meanFirstTokenMillis);
        tokenCount = Math.min(MIN_FIRST_TOKENS, tokenCount + coldSigns.firstTokens());
        if (roseSharply) {
            startedAt = now;
            tokenCount = 0;
        }
        return roseSharply;
    }
}
