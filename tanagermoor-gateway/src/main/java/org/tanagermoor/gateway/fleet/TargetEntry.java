package org.tanagermoor.gateway.fleet;

import org.tanagermoor.kernel.setting.Address;

/**
 * A target as it registered itself.
 *
 * @param id The identity of its incarnation.
 * @param service The name of the service.
 * @param address The address.
 * @param domain The failure domain.
 * @param capacity The requests that it runs at once.
 * @param draining Whether it is about to leave.
 * @param warmupLeftMillis How long it stays cold, in milliseconds, as of its registration.
 * @param startedAtMillis The time of day of its start in milliseconds, which tells apart incarnations with the same id.
 */
public record TargetEntry(
        String id,
        String service,
        Address address,
        String domain,
        int capacity,
        boolean draining,
        long warmupLeftMillis,
        long startedAtMillis) {}
