package org.tanagermoor.policy.fleet;

/**
 * Identifies one run of an instance. An instance that restarts keeps its name but gets a new incarnation, so that it
 * does not claim what was lent to its earlier run.
 *
 * @param name The name from the settings.
 * @param incarnation A number chosen at random when the process starts.
 */
public record InstanceId(String name, long incarnation) implements Comparable<InstanceId> {

    /**
     * Returns the identity of a run.
     *
     * @param name The name from the settings.
     * @param incarnation A number chosen at random when the process starts.
     */
    public static InstanceId of(String name, long incarnation) {
        return new InstanceId(name, incarnation);
    }

    /** {@inheritDoc} */
    @Override
    public int compareTo(InstanceId other) {
        int order = name.compareTo(other.name);
        return order == 0 ? Long.compare(incarnation, other.incarnation) : order;
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return name + "~" + Long.toUnsignedString(incarnation, Character.MAX_RADIX);
    }
}
