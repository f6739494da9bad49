package org.tanagermoor.standin.platform;

import java.time.Duration;

/**
 * The limits of the platform.
 *
 * @param readsPerSecond The reads allowed in a second, or 0 for no limit.
 * @param writesPerSecond The writes allowed in a second, or 0 for no limit.
 * @param listLag The time after which a change shows in the list of instances.
 */
public record Limits(long readsPerSecond, long writesPerSecond, Duration listLag) {

    /** No limits and no lag. */
    public static final Limits NONE = new Limits(0, 0, Duration.ZERO);
}
