package org.tanagermoor.policy.quarantine;

import java.time.Duration;

/**
 * What is known of a part that was found to crash targets.
 *
 * @param part The identity of the part, or another mark of a prompt.
 * @param revision The number of decisions on the part so far; the record with the higher one is valid.
 * @param held Whether requests with the part are refused; if not, it was released.
 * @param trials The number of requests that were let through since, to find out whether targets bear the part again.
 * @param until The monotonic time in nanoseconds of the next trial, or of the release.
 * @param changedAt The monotonic time in nanoseconds at which this instance learnt of the last decision.
 * @param evidence Why the last decision was made, for people.
 */
public record QuarantineEntry(
        String part, long revision, boolean held, int trials, long until, long changedAt, String evidence) {

    /**
     * The time for which an overdue trial, or the record of a release, is kept, in nanoseconds: longer than instances
     * can be out of touch.
     */
    static final long RETENTION_NANOS = Duration.ofMinutes(10).toNanos();

    /** Returns whether the record is to be forgotten at the given monotonic time in nanoseconds. */
    public boolean aged(long now) {
        return now - until > RETENTION_NANOS;
    }
}
