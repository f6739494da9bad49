package org.tanagermoor.gateway.forward;

import java.util.OptionalDouble;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.kernel.event.EventLog;

/**
 * An observer that logs skipped answers.
 *
 * @param events The log.
 * @param onLeaving Called with a target whose answer states that it is leaving.
 * @param onRequestLimit Called with a target and what its answer says about its request limit.
 */
public record SkippedAnswerLog(
        EventLog events, Consumer<TargetEntry> onLeaving, BiConsumer<TargetEntry, OptionalDouble> onRequestLimit)
        implements TargetObserver {

    /** {@inheritDoc} */
    @Override
    public void leaving(TargetEntry target) {
        onLeaving.accept(target);
    }

    /** {@inheritDoc} */
    @Override
    public void requestLimit(TargetEntry target, OptionalDouble perSecond) {
        onRequestLimit.accept(target, perSecond);
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
