package org.tanagermoor.gateway.dispatch;

import java.util.List;
import java.util.Optional;
import org.tanagermoor.policy.quarantine.QuarantineEntry;

/**
 * The beginning or the end of the trial of parts that are held back.
 *
 * @param parts The identities of the parts, or the other marks of the prompt that are held back.
 * @param holder The instance that sends the request.
 * @param permit The number of its permit.
 * @param target The identity of the target.
 * @param outcome How the use of the place ended, as far as the dispatcher knows; empty at the beginning.
 * @param nanos The time since the grant in nanoseconds.
 */
public record Trial(
        List<String> parts, String holder, long permit, String target, Optional<PlaceOutcome> outcome, long nanos) {

    /** Reports the beginning or the end of a grant if it is a trial. */
    static void report(Grant grant, Optional<PlaceOutcome> outcome, DispatchSink sink, long now) {
        if (!grant.trial.isEmpty()) {
            List<String> parts = grant.trial.stream().map(QuarantineEntry::part).toList();
            sink.trial(new Trial(parts, grant.holder, grant.permit, grant.target, outcome, now - grant.grantedAt));
        }
    }
}
