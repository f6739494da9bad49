package org.tanagermoor.policy.standing;

/**
 * Whether an instance may act on its configuration. An instance that may be behind the accepted version must not serve.
 */
public enum Standing {

    /** The instance knows that its version was the latest one within the freshness window. */
    FULL,

    /**
     * The store is unavailable to all and a majority of the view answers the instance: it serves with a frozen view.
     */
    OUTAGE,

    /** The instance may be behind the accepted version: it accepts no new work. */
    NONE;

    /**
     * Returns whether the instance may accept new work.
     *
     * @return {@code true} unless this is {@link #NONE}.
     */
    public boolean serves() {
        return this != NONE;
    }
}
