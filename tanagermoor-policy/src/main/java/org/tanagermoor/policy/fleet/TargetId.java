package org.tanagermoor.policy.fleet;

/**
 * Identifies a target by its name.
 *
 * @param value The name, unique among targets.
 */
public record TargetId(String value) implements Comparable<TargetId> {

    /** Wraps the name of a target. */
    public static TargetId of(String value) {
        return new TargetId(value);
    }

    /** {@inheritDoc} */
    @Override
    public int compareTo(TargetId other) {
        return value.compareTo(other.value);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return value;
    }
}
