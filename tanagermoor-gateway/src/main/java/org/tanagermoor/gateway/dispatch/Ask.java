package org.tanagermoor.gateway.dispatch;

import java.util.Set;

/**
 * A request that asks for a place at a target.
 *
 * @param holder The instance that asks.
 * @param permit The number of the permit, unique at that instance.
 * @param service The name of the service.
 * @param team The team whose rate is charged; empty if none is.
 * @param domain The failure domain of the instance.
 * @param promptKey A hash of the shared part of the prompt; 0 for none.
 * @param waitNanos The longest useful wait in nanoseconds.
 * @param onTimeNanos The wait after which the answer is late, in nanoseconds; below 0 if it is late anyway.
 * @param work The work that is left of an item of a job; {@link Work#NONE} for an online request.
 * @param batch Whether it is an item of a job.
 * @param returning Whether its caller comes back after a refusal.
 * @param excluded The targets that must not be chosen.
 */
public record Ask(
        String holder,
        long permit,
        String service,
        String team,
        String domain,
        long promptKey,
        long waitNanos,
        long onTimeNanos,
        Work work,
        boolean batch,
        boolean returning,
        Set<String> excluded) {

    /** Returns this request as it asks when it has waited for a time in nanoseconds. */
    Ask after(long waitedNanos) {
        return new Ask(
                holder,
                permit,
                service,
                team,
                domain,
                promptKey,
                waitNanos - waitedNanos,
                onTimeNanos - waitedNanos,
                work,
                batch,
                returning,
                excluded);
    }
}
