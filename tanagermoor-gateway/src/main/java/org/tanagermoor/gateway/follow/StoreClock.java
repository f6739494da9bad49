package org.tanagermoor.gateway.follow;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Estimates the steady clock of the control store, by which all instances measure the same times however much their own
 * clocks differ. An estimate is never ahead of that clock, and behind it by no more than the quickest answer has taken
 * on its way. Confined to the event loop.
 */
public final class StoreClock {

    /** The time of the store at monotonic time 0 of this instance, in milliseconds; behind it if an answer was slow. */
    private long originMillis = Long.MIN_VALUE;

    private StoreClock() {}

    /** Returns a clock whose time is not known. */
    public static StoreClock of() {
        return new StoreClock();
    }

    /**
     * Records the time that an answer of the store states.
     *
     * @param storeMillis The time of the store in milliseconds; 0 if the answer states none.
     * @param now The monotonic time in nanoseconds at which the answer was received.
     */
    public void observe(long storeMillis, long now) {
        if (storeMillis > 0) {
            originMillis = Math.max(originMillis, storeMillis - TimeUnit.NANOSECONDS.toMillis(now));
        }
    }

    /**
     * Returns the time of the store in milliseconds, or somewhat less; empty if it is not known.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public OptionalLong millis(long now) {
        return originMillis == Long.MIN_VALUE
                ? OptionalLong.empty()
                : OptionalLong.of(originMillis + TimeUnit.NANOSECONDS.toMillis(now));
    }
}
