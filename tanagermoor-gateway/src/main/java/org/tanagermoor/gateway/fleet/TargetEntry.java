package org.tanagermoor.gateway.fleet;

import org.tanagermoor.kernel.setting.Address;

/**
 * The entry with which a target registered itself in the control store.
 *
 * @param id The identity of the incarnation of the target.
 * @param service The name of the service that it belongs to.
 * @param address The address at which it accepts requests.
 * @param domain The failure domain in which it runs.
 * @param capacity The number of requests that it runs at once.
 * @param draining Whether it is about to leave and must get no further requests.
 * @param warmupLeftMillis The remaining warm-up time, in milliseconds, as of its registration.
 * @param startedAtMillis The time of day of its start in milliseconds, which distinguishes incarnations with the same
 *     id.
 * @param version The version of the program or model that it runs; empty if its row has none.
 */
public record TargetEntry(
        String id,
        String service,
        Address address,
        String domain,
        int capacity,
        boolean draining,
        long warmupLeftMillis,
        long startedAtMillis,
        String version) {

    /** Creates the entry of a target without a version. */
    public TargetEntry(
            String id,
            String service,
            Address address,
            String domain,
            int capacity,
            boolean draining,
            long warmupLeftMillis,
            long startedAtMillis) {
        this(id, service, address, domain, capacity, draining, warmupLeftMillis, startedAtMillis, "");
    }

    /** Returns the same entry of a target that runs the given version. */
    public TargetEntry withVersion(String value) {
        return new TargetEntry(
                id, service, address, domain, capacity, draining, warmupLeftMillis, startedAtMillis, value);
    }
}
