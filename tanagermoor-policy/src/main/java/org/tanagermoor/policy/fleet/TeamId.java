package org.tanagermoor.policy.fleet;

/**
 * Identifies a team by its name.
 *
 * @param value The name, unique among teams.
 */
public record TeamId(String value) implements Comparable<TeamId> {

    /** Wraps the name of a team. */
    public static TeamId of(String value) {
        return new TeamId(value);
    }

    /** {@inheritDoc} */
    @Override
    public int compareTo(TeamId other) {
        return value.compareTo(other.value);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return value;
    }
}
