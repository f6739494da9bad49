package org.tanagermoor.gateway.edge;

import java.util.concurrent.TimeUnit;
import org.tanagermoor.gateway.GatewayEvent;

/** Logs and counts what becomes of an online request. Confined to the event loop. */
final class OnlineLog {

    private final CallContext context;

    private final CallHead head;

    private final String team;

    /** The name of the route. */
    private final String route;

    /** The monotonic time of the arrival in nanoseconds. */
    private final long arrivedAt;

    /** Creates the log of a request that arrived at the given monotonic time in nanoseconds. */
    OnlineLog(CallContext context, CallHead head, String team, String route, long arrivedAt) {
        this.context = context;
        this.head = head;
        this.team = team;
        this.route = route;
        this.arrivedAt = arrivedAt;
    }

    /**
     * Records that the request was sent to a target.
     *
     * @param target The identity of the target.
     * @param leftMillis The time until the deadline, in milliseconds.
     * @param now The current monotonic time in nanoseconds.
     */
    void placed(String target, long leftMillis, long now) {
        context.events()
                .record(
                        GatewayEvent.REQUEST_PLACED,
                        "request",
                        head.id(),
                        "target",
                        target,
                        "parts",
                        String.join(",", head.prompt().shared()),
                        "own-part",
                        head.prompt().own(),
                        "content",
                        head.prompt().content(),
                        "waited-ms",
                        millisSinceArrival(now),
                        "left-ms",
                        leftMillis);
    }

    /**
     * Records that a target failed to answer.
     *
     * @param target The identity of the target.
     * @param detail What happened.
     * @param mayHaveRun Whether the target may have run the request.
     * @param runEvents The number of events that the target sent in this run.
     * @param lastEvent The number of the last event that was sent to the caller.
     * @param attempts The number of targets that may have run the request.
     */
    void exchangeFailed(
            String target, String detail, boolean mayHaveRun, long runEvents, long lastEvent, int attempts) {
        context.events()
                .record(
                        GatewayEvent.EXCHANGE_FAILED,
                        "request",
                        head.id(),
                        "target",
                        target,
                        "detail",
                        detail,
                        "may-have-run",
                        mayHaveRun,
                        "parts",
                        String.join(",", head.prompt().shared()),
                        "own-part",
                        head.prompt().own(),
                        "content",
                        head.prompt().content(),
                        "run-events",
                        runEvents,
                        "last-event",
                        lastEvent,
                        "attempts",
                        attempts);
        context.metrics().exchangeFailed();
    }

    /** Records that the answer started, at the given monotonic time in nanoseconds. */
    void answerStarted(long now) {
        context.metrics().answerStarted(now - arrivedAt);
    }

    /**
     * Records that the answer was sent to its end.
     *
     * @param target The identity of the target.
     * @param attempts The number of targets that may have run the request.
     * @param now The current monotonic time in nanoseconds.
     */
    void answered(String target, int attempts, long now) {
        context.metrics().answerCompleted(now - arrivedAt);
        context.events()
                .record(
                        GatewayEvent.REQUEST_ANSWERED,
                        "request",
                        head.id(),
                        "target",
                        target,
                        "took-ms",
                        millisSinceArrival(now),
                        "attempts",
                        attempts);
    }

    /**
     * Records that the request was answered with a refusal.
     *
     * @param refusal The refusal that the caller gets.
     * @param now The current monotonic time in nanoseconds.
     */
    void refused(Refusal refusal, long now) {
        context.events()
                .record(
                        GatewayEvent.REQUEST_REFUSED,
                        "request",
                        head.id(),
                        "team",
                        team,
                        "route",
                        route,
                        "kind",
                        refusal.kind(),
                        "detail",
                        refusal.detail(),
                        "retry-after-ms",
                        refusal.retryAfterMillis(),
                        "waited-ms",
                        millisSinceArrival(now));
        context.metrics().refused(refusal.kind());
    }

    /** Records that the caller left, and whether the request was at the given target then. */
    void callerLeft(String target, boolean sent) {
        context.events().record(GatewayEvent.CALLER_LEFT, "request", head.id(), "target", target, "sent", sent);
        context.metrics().callerLeft();
    }

    private long millisSinceArrival(long now) {
        return TimeUnit.NANOSECONDS.toMillis(now - arrivedAt);
    }
}
