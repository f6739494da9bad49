package org.tanagermoor.policy.target;

import java.util.LinkedHashSet;
import java.util.Set;
import org.tanagermoor.policy.configuration.Target;

/** What a steward knows of how warm a target is. Not safe for use by several threads. */
final class TargetWarmth {

    /** The factor by which first-token times rise when a target has turned cold. */
    private static final double RISE = 4;

    /** The first tokens that a judgement needs. */
    private static final int LEAST_TOKENS = 8;

    /** The weight of the last first-token times in their long mean. */
    private static final double SMOOTHING = 0.05;

    /** The most former start marks that are remembered. */
    private static final int FORMER_MARKS = 8;

    /** The nanoseconds of a millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The start mark, or empty text while none is known. */
    private String mark = "";

    /** The start marks before. */
    private final Set<String> formerMarks = new LinkedHashSet<>();

    /** The monotonic time of the cold start in nanoseconds. */
    private long startedAt;

    /** The monotonic time of the last reload under the same start mark in nanoseconds. */
    private long chilledAt = Long.MIN_VALUE;

    /** The monotonic time since which a reset is unexplained, in nanoseconds. */
    private long suspectAt;

    /** Whether a reset is unexplained. */
    private boolean suspect;

    /** The long mean of first-token times in milliseconds. */
    private double meanMillis;

    /** The first tokens that the mean covers. */
    private int tokens;

    /**
     * Creates the knowledge of a target that counts as cold.
     *
     * @param now The present monotonic time in nanoseconds.
     */
    TargetWarmth(long now) {
        startedAt = now;
        suspectAt = now;
    }

    /**
     * Returns what the target bears now.
     *
     * @param target The target.
     * @param now The present monotonic time in nanoseconds.
     * @return The requests that it bears at once.
     */
    int capacity(Target target, long now) {
        if (suspect) {
            return target.coldCapacity();
        }
        double warm = target.warmUpMillis() <= 0
                ? 1
                : Math.clamp((double) (now - startedAt) / (target.warmUpMillis() * NANOS_PER_MILLI), 0, 1);
        return target.coldCapacity() + (int) ((target.capacity() - target.coldCapacity()) * warm);
    }

    /**
     * Notes the signs that an instance reported.
     *
     * @param coldSigns The signs.
     * @param now The present monotonic time in nanoseconds.
     * @return Whether the target counts as cold because of them.
     */
    boolean see(PermitReport.ColdSigns coldSigns, long now) {
        boolean cold = recordStartMark(coldSigns.mark(), now);
        if (!coldSigns.mark().isEmpty() && coldSigns.mark().equals(mark) && coldSigns.warmMillis() >= 0) {
            long told = now - coldSigns.warmMillis() * NANOS_PER_MILLI;
            startedAt = Math.min(startedAt, Math.max(told, chilledAt));
        }
        if (coldSigns.resets() > 0) {
            cold |= !suspect;
            suspect = true;
            suspectAt = now;
        }
        return seeFirstTokens(coldSigns, now) || cold;
    }

    /**
     * Notes a report of load.
     *
     * @param seen The start mark in it.
     * @param sampledAt The monotonic time at which it was made, in nanoseconds.
     * @param now The present monotonic time in nanoseconds.
     * @return Whether the target counts as cold because of it.
     */
    boolean recordLoad(String seen, long sampledAt, long now) {
        boolean cold = recordStartMark(seen, now);
        if (suspect && sampledAt - suspectAt > 0) {
            suspect = false;
        }
        return cold;
    }

    /**
     * Returns the start mark.
     *
     * @return The start mark, or empty text.
     */
    String mark() {
        return mark;
    }

    /**
     * Returns the time since the start.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return The time in milliseconds.
     */
    long warmMillis(long now) {
        return suspect ? 0 : Math.max(0, now - startedAt) / NANOS_PER_MILLI;
    }

    /**
     * Lets the target count as cold.
     *
     * @param now The present monotonic time in nanoseconds.
     */
    void chill(long now) {
        startedAt = now;
        chilledAt = now;
        tokens = 0;
    }

    /**
     * Notes a start mark.
     *
     * @param seen The start mark, or empty text.
     * @param now The present monotonic time in nanoseconds.
     * @return Whether the target started anew.
     */
    private boolean recordStartMark(String seen, long now) {
        if (seen.isEmpty() || seen.equals(mark) || formerMarks.contains(seen)) {
            return false;
        }
        if (!mark.isEmpty()) {
            formerMarks.add(mark);
            if (formerMarks.size() > FORMER_MARKS) {
                formerMarks.remove(formerMarks.iterator().next());
            }
        }
        mark = seen;
        startedAt = now;
        return true;
    }

    /**
     * Notes first tokens.
     *
     * @param coldSigns The signs.
     * @param now The present monotonic time in nanoseconds.
     * @return Whether the times rose so much that the target counts as cold.
     */
    private boolean seeFirstTokens(PermitReport.ColdSigns coldSigns, long now) {
        if (coldSigns.firstTokens() == 0) {
            return false;
        }
        double millis = (double) coldSigns.firstTokenMillis() / coldSigns.firstTokens();
        boolean rose = tokens >= LEAST_TOKENS && coldSigns.firstTokens() >= LEAST_TOKENS && millis > RISE * meanMillis;
        meanMillis = tokens == 0 ? millis : meanMillis + SMOOTHING * (millis - meanMillis);
        tokens = Math.min(LEAST_TOKENS, tokens + coldSigns.firstTokens());
        if (rose) {
            startedAt = now;
            tokens = 0;
        }
        return rose;
    }
}
