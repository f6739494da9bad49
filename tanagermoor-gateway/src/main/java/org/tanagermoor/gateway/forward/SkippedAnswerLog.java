package org.tanagermoor.gateway.forward;

import java.util.function.Consumer;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.kernel.event.EventLog;

/**
 * An observer that logs skipped answers.
 *
 * @param events The log.
 * @param onLeaving Called with a target whose answer states that it is leaving.
 */
public record SkippedAnswerLog(EventLog events, Consumer<TargetEntry> onLeaving) implements TargetObserver {

    /** {@inheritDoc} */
    @Override
    public void leaving(TargetEntry target) {
        onLeaving.accept(target);
    }

    /** {@inheritDoc} */
    @Override
    public void answerSkipped(TargetEntry target, String request, TargetHead head) {
        events.record(
                GatewayEvent.ANSWER_SKIPPED,
                "request",
                request,
                "target",
                target.id(),
                "names",
                head.id(),
                "status",
                head.status(),
                "signed",
                head.signed());
    }
}
