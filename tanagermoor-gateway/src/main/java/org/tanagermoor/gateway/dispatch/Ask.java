package org.tanagermoor.gateway.dispatch;

import java.util.Set;
import org.tanagermoor.policy.prompt.Prompt;

/**
 * An ask: the request of an instance to the dispatcher for a place at a target, for an online request or an item of a
 * job. A place is the right to have one request in progress at the target. An instance that asks for a place is the
 * holder of the permit that identifies the ask and the place granted to it.
 *
 * @param holder The instance that asks.
 * @param permit The number of the permit, unique within that instance.
 * @param service The name of the service.
 * @param team The team whose rate limit is charged; empty if none is.
 * @param domain The failure domain of the instance.
 * @param promptKey A hash of the shared prefix of the prompt; 0 for none.
 * @param waitNanos The longest wait after which a place is still useful, in nanoseconds.
 * @param onTimeNanos The wait after which the answer is late, in nanoseconds; below 0 if it is already late.
 * @param work The remaining work of an item of a job; {@link Work#NONE} for an online request.
 * @param batch Whether the place is for an item of a job.
 * @param returning Whether the caller was refused before and tries again.
 * @param excluded The identities of targets that must not be chosen.
 * @param prompt The parts of the prompt; {@link Prompt#NONE} if they are unknown.
 * @param traits The route, size and priority of the request.
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
        Set<String> excluded,
        Prompt prompt,
        RequestTraits traits) {

    /** Creates an ask of a request whose prompt is unknown. */
    public Ask(
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
        this(
                holder,
                permit,
                service,
                team,
                domain,
                promptKey,
                waitNanos,
                onTimeNanos,
                work,
                batch,
                returning,
                excluded,
                Prompt.NONE,
                RequestTraits.NONE);
    }

    /** Returns this ask with the parts of its prompt. */
    public Ask withPrompt(Prompt value) {
        return new Ask(
                holder,
                permit,
                service,
                team,
                domain,
                promptKey,
                waitNanos,
                onTimeNanos,
                work,
                batch,
                returning,
                excluded,
                value,
                traits);
    }

    /** Returns this ask with the route, size and priority of its request. */
    public Ask withTraits(RequestTraits value) {
        return new Ask(
                holder,
                permit,
                service,
                team,
                domain,
                promptKey,
                waitNanos,
                onTimeNanos,
                work,
                batch,
                returning,
                excluded,
                prompt,
                value);
    }

    /** Returns this ask with its times reduced by the nanoseconds that it has waited already. */
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
                excluded,
                prompt,
                traits);
    }
}
