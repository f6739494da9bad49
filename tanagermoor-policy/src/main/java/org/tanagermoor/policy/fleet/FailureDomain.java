package org.tanagermoor.policy.fleet;

/**
 * The name of a failure domain: a part of the site whose machines can fail together.
 *
 * @param value The name, unique among failure domains.
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {

    /** Wraps the name of a failure domain. */
    public static FailureDomain of(String value) {
        return new FailureDomain(value);
    }

    /** {@inheritDoc} */
    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return value;
    }
}
