package org.tanagermoor.policy.rollout;

import java.time.Duration;
import java.util.Arrays;

/**
 * The median of the times of the last 10 s, from a histogram of fixed size. Designed for any rate of runs: neither
 * memory nor the cost of a run grows with it. Keeps the last median when no run has ended since. Not thread-safe.
 */
final class LatencyWindow {

    /** The width of a slice of the window; the window moves on by one slice at a time, in nanoseconds. */
    private static final long SLICE_NANOS = Duration.ofSeconds(2).toNanos();

    private static final int SLICES = 5;

    /**
     * The ratio of the bounds of a bucket: the median is known to within a tenth, far below the factor of a slow run.
     */
    private static final double RATIO = 1.1;

    /** The upper bound of the first bucket in nanoseconds. */
    private static final double FIRST_NANOS = 50_000;

    /** The number of buckets, which reach to some 2 hours. */
    private static final int BUCKETS = 200;

    /** The number of times from which a median counts: fewer say little of a route. */
    private static final int MIN_TIMES = 5;

    /** The time for which the median of many times is kept, in nanoseconds. */
    private static final long REFRESH_NANOS = Duration.ofMillis(100).toNanos();

    private final int[][] slices = new int[SLICES][BUCKETS];

    private final int[] window = new int[BUCKETS];

    private int count;

    private long currentSlice = Long.MIN_VALUE;

    private boolean changed;

    private long computedAt = Long.MIN_VALUE / 2;

    private double median;

    /** Adds a time in nanoseconds. */
    void add(long nanos, long now) {
        advance(now);
        int bucket = bucketOf(nanos);
        slices[index()][bucket]++;
        window[bucket]++;
        count++;
        changed = true;
    }

    /** Returns the median in nanoseconds; 0 if too few times are known. */
    double median(long now) {
        advance(now);
        if (changed && count >= MIN_TIMES && (count < 10 * MIN_TIMES || now - computedAt >= REFRESH_NANOS)) {
            changed = false;
            computedAt = now;
            int below = 0;
            int bucket = 0;
            while (below + window[bucket] < (count + 1) / 2) {
                below += window[bucket++];
            }
            median = FIRST_NANOS * Math.pow(RATIO, bucket - 0.5);
        }
        return median;
    }

    private void advance(long now) {
        long slice = Math.floorDiv(now, SLICE_NANOS);
        if (currentSlice == Long.MIN_VALUE) {
            currentSlice = slice;
        }
        long steps = Math.min(slice - currentSlice, SLICES);
        for (long step = 0; step < steps; step++) {
            currentSlice = slice - steps + step + 1;
            int[] oldest = slices[index()];
            for (int bucket = 0; bucket < BUCKETS; bucket++) {
                window[bucket] -= oldest[bucket];
                count -= oldest[bucket];
            }
            Arrays.fill(oldest, 0);
            changed = true;
        }
    }

    private int index() {
        return (int) Math.floorMod(currentSlice, (long) SLICES);
    }

    private static int bucketOf(long nanos) {
        double bucket = Math.ceil(Math.log(nanos / FIRST_NANOS) / Math.log(RATIO));
        return (int) Math.max(0, Math.min(BUCKETS - 1, bucket));
    }
}
