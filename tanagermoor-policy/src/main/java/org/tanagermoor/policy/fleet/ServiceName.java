package org.tanagermoor.policy.fleet;

/**
 * The name of a service, which its targets provide.
 *
 * @param value The name, unique among services.
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

    /** Wraps the name of a service. */
    public static ServiceName of(String value) {
        return new ServiceName(value);
    }

    /** {@inheritDoc} */
    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return value;
    }
}
