package org.tanagermoor.policy.configuration;

import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TargetId;

/**
 * A target: a server that executes the requests of a service.
 *
 * @param id The name of the target.
 * @param service The service to which the target belongs.
 * @param domain The failure domain in which the target runs.
 * @param address The address at which the target accepts requests.
 * @param capacity The number of requests that the target can handle at once when warm, at least 1.
 * @param coldCapacity The number of requests that the target can handle at once right after a cold start, from 1 to
 *     {@code capacity}.
 * @param warmUpMillis The time in milliseconds from a cold start until the target can handle its capacity.
 * @param checksFencing Whether the target refuses an order with an old fencing number.
 */
public record Target(
        TargetId id,
        ServiceName service,
        FailureDomain domain,
        Address address,
        int capacity,
        int coldCapacity,
        long warmUpMillis,
        boolean checksFencing) {}
