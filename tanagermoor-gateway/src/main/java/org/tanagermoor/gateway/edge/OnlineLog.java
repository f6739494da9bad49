package org.tanagermoor.gateway.edge;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.forward.Delivery;
import org.tanagermoor.gateway.forward.TargetHead;

/** Logs and counts what becomes of an online request. Confined to the event loop. */
final class OnlineLog {

    private final CallContext context;

    private final CallHead head;

    private final String team;

    /** The name of the route. */
    private final String route;

    /** The monotonic time of the arrival in nanoseconds. */
    private final long arrivedAt;

    /** The runs that have ended: the target, the status and signature of its answer, and its events. */
    private final List<String> runs = new ArrayList<>();

    /** The head of the answer in the current run, or {@code null} before it has arrived. */
    @Nullable
    private TargetHead answer;

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
     * @param permit The number of the permit.
     * @param leftMillis The time until the deadline, in milliseconds.
     * @param now The current monotonic time in nanoseconds.
     */
    void placed(String target, long permit, long leftMillis, long now) {
        answer = null;
        context.events()
                .record(
                        GatewayEvent.REQUEST_PLACED,
                        "request",
                        head.id(),
                        "target",
                        target,
                        "permit",
                        permit,
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

    /** Notes the head of the answer in the current run. */
    void headReceived(TargetHead head) {
        answer = head;
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
        addRun(target, runEvents, lastEvent);
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
                        attempts,
                        "status",
                        status(),
                        "signed",
                        signed());
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
     * @param runEvents The number of events that the target sent in this run.
     * @param lastEvent The number of the last event that was sent to the caller.
     * @param attempts The number of targets that may have run the request.
     * @param delivery How the answer of the last run was delivered.
     * @param now The current monotonic time in nanoseconds.
     */
    void answered(String target, long runEvents, long lastEvent, int attempts, Delivery delivery, long now) {
        addRun(target, runEvents, lastEvent);
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
                        attempts,
                        "status",
                        status(),
                        "signed",
                        signed(),
                        "runs",
                        String.join(" ", runs),
                        "framed",
                        delivery.framed(),
                        "reused",
                        delivery.reused(),
                        "skipped-answers",
                        delivery.skippedAnswers());
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

    /** Adds the current run to those that have ended. */
    private void addRun(String target, long runEvents, long lastEvent) {
        String signature = signed() ? "signed" : "unsigned";
        runs.add(target + ":" + status() + ":" + signature + ":" + (lastEvent - runEvents) + "-" + lastEvent);
    }

    /** Returns the status of the answer in the current run; empty before its head has arrived. */
    private String status() {
        return answer == null ? "" : String.valueOf(answer.status());
    }

    /** Returns whether the answer in the current run has the target's signature. */
    private boolean signed() {
        return answer != null && answer.signed();
    }

    private long millisSinceArrival(long now) {
        return TimeUnit.NANOSECONDS.toMillis(now - arrivedAt);
    }
}
