package org.tanagermoor.gateway.dispatch;

import org.tanagermoor.policy.prompt.Prompt;

/**
 * A place that a holder occupies.
 *
 * @param permit The number of the permit.
 * @param service The name of the service.
 * @param target The identity of the target.
 * @param batch Whether an item of a job uses it.
 * @param slackNanos How much longer the request could have waited and still been on time, in nanoseconds; below
 *     0 if it is late.
 * @param work The remaining work of an item of a job.
 * @param prompt The parts of the prompt; {@link Prompt#NONE} if they are unknown.
 * @param heldNanos The time since the place was granted, in nanoseconds.
 * @param route The name of the route; empty if it is unknown.
 */
public record OccupiedPlace(
        long permit,
        String service,
        String target,
        boolean batch,
        long slackNanos,
        Work work,
        Prompt prompt,
        long heldNanos,
        String route) {

    /** Creates a place that has just been granted to a request whose prompt is unknown. */
    public OccupiedPlace(long permit, String service, String target, boolean batch, long slackNanos, Work work) {
        this(permit, service, target, batch, slackNanos, work, Prompt.NONE, 0, "");
    }

    /** Returns this place with the prompt of the request, and the nanoseconds since it was granted. */
    public OccupiedPlace withRun(Prompt value, long nanos) {
        return new OccupiedPlace(permit, service, target, batch, slackNanos, work, value, nanos, route);
    }

    /** Returns this place with the name of the route of the request. */
    public OccupiedPlace withRoute(String value) {
        return new OccupiedPlace(permit, service, target, batch, slackNanos, work, prompt, heldNanos, value);
    }
}
