package org.tanagermoor.gateway.job;

import java.util.OptionalLong;
import org.tanagermoor.gateway.proto.JobRow;

/**
 * The time that has certainly passed since a job was accepted. Since the clocks of instances differ, it is measured by
 * the clock of the store, or by the monotonic clock of an instance that has known the job for long.
 */
final class JobAge {

    /**
     * Maximum difference between the clocks of two instances, in milliseconds: twice the bound that the users specify.
     */
    static final long MAX_CLOCK_SKEW_MILLIS = 10_000;

    /** Maximum delay of the estimated clock of the store, in milliseconds: that of a slow answer. */
    private static final long MAX_STORE_CLOCK_DELAY_MILLIS = 1_000;

    private JobAge() {}

    /**
     * Returns the time in milliseconds that has passed since the acceptance of a job, at least.
     *
     * @param job The row of the job.
     * @param storeMillis The time of the store in milliseconds; empty if it is not known.
     * @param wallMillis The wall-clock time of this instance in milliseconds.
     * @param knownMillis The time in milliseconds for which this instance has known the job.
     */
    static long millis(JobRow job, OptionalLong storeMillis, long wallMillis, long knownMillis) {
        long measured = storeMillis.isPresent() && job.getAcceptedStoreMillis() > 0
                ? storeMillis.getAsLong() - job.getAcceptedStoreMillis() - MAX_STORE_CLOCK_DELAY_MILLIS
                : wallMillis - job.getAcceptedMillis() - MAX_CLOCK_SKEW_MILLIS;
        return Math.max(measured, knownMillis);
    }
}
