package org.tanagermoor.gateway.edge;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.gateway.dispatch.Ask;
import org.tanagermoor.gateway.dispatch.PlaceOutcome;
import org.tanagermoor.gateway.dispatch.PlacementDecision;
import org.tanagermoor.gateway.dispatch.Work;
import org.tanagermoor.gateway.fleet.Route;
import org.tanagermoor.gateway.fleet.RouteKind;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.gateway.forward.EventFrames;
import org.tanagermoor.gateway.forward.TargetConnections;
import org.tanagermoor.gateway.forward.TargetHead;
import org.tanagermoor.gateway.forward.TargetListener;
import org.tanagermoor.gateway.forward.TargetRequest;
import org.tanagermoor.kernel.failure.Execution;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.quarantine.QuarantineDecision;

/**
 * An online request, from its admission to the end of its answer. It runs at one target at a time. It is sent to
 * another target only if the first one did not run it, or if the route allows a repetition. Confined to the event loop.
 */
final class OnlineCall implements Call, TargetListener {

    /**
     * The time that is reserved for a target to send its first event, in nanoseconds: above the 99th percentile
     * under normal conditions. An answer whose place is granted later is late.
     */
    private static final long FIRST_EVENT_RESERVE_NANOS = TimeUnit.MILLISECONDS.toNanos(110);

    /** Statuses from this one on mean that the target failed. */
    private static final int FIRST_FAILURE_STATUS = 500;

    /** The time after which a caller may retry when no better value is known, in milliseconds. */
    private static final long RETRY_AFTER_MILLIS = 250;

    /**
     * The silence after which a target counts as lost, in milliseconds: far above the pauses of a slow target, and
     * below the 2 s after which callers of streams stop waiting, so that a run at another target still reaches them.
     */
    private static final long SILENCE_TIMEOUT_MILLIS = 1_700;

    private final CallContext context;

    private final CallHead head;

    /** Owned by this call, which releases it at its end. */
    private final ByteBuf requestBody;

    private final Route route;

    private final String service;

    /** The name of the team; empty if there is none. */
    private final String team;

    private final Responder responder;

    private final OnlineLog log;

    /** The monotonic time of the arrival in nanoseconds. */
    private final long arrivedAt;

    /** The monotonic time in nanoseconds by which the answer must be complete. */
    private long deadline;

    /** Whether the caller is retrying after a refusal. */
    private final boolean retrying;

    /** The identities of targets that must not be chosen again. */
    private final Set<String> excluded = new HashSet<>();

    /** Ends the call at its deadline. */
    private ScheduledFuture<?> timer;

    /** Whether the instance stops before the request is certain to be answered. */
    private boolean curtailed;

    /** Splits the current answer into events; {@code null} if it is not a stream of events. */
    @Nullable
    private EventFrames frames;

    /** {@code null} while the request is not at a target. */
    private TargetConnections.@Nullable Exchange exchange;

    /** The current or last target; {@code null} before the first one. */
    @Nullable
    private TargetEntry target;

    /** The number of the current permit; 0 if there is none. */
    private long permit;

    /** The number of targets that may have run the request. */
    private int attempts;

    /** Whether the request has been charged to the rate of its team. */
    private boolean charged;

    /** Whether the head of an answer was sent to the caller. */
    private boolean headSent;

    /** The number of the last event that was sent to the caller. */
    private long lastEvent;

    /** The number of the last event before the current run. */
    private long startEvent;

    /** The next check for a silent target; {@code null} while no check is scheduled. */
    @Nullable
    private ScheduledFuture<?> silenceCheck;

    /** The monotonic time in nanoseconds at which the target last sent something new. */
    private long receivedAt;

    private boolean ended;

    OnlineCall(
            CallContext context,
            CallHead head,
            ByteBuf body,
            Route route,
            String service,
            String team,
            Responder responder) {
        this.context = context;
        this.head = head;
        requestBody = body;
        this.route = route;
        this.service = service;
        this.team = team;
        this.responder = responder;
        lastEvent = head.lastEvent();
        arrivedAt = context.time().nanos();
        log = new OnlineLog(context, head, team, route.name(), arrivedAt);
        long millis = route.limitMillis(head.deadlineMillis());
        deadline = arrivedAt + TimeUnit.MILLISECONDS.toNanos(millis);
        retrying = context.deadlines().retrying(route.name(), head.deadlineMillis());
        timer = context.loop().schedule(this::timedOut, millis, TimeUnit.MILLISECONDS);
    }

    /** Asks the dispatcher for a place at a target. */
    void start() {
        if (curtailed && attempts == 0 && !headSent) {
            refuse(Refusal.ofLeaving("the instance ends before the deadline"));
            return;
        }
        long now = context.time().nanos();
        long left = deadline - now - FIRST_EVENT_RESERVE_NANOS;
        if (left <= 0) {
            refuse(new Refusal(Refusal.Kind.UNAVAILABLE, 0, "the deadline is too close"));
            return;
        }
        Optional<QuarantineDecision.Refused> held = context.quarantine().refusal(head.prompt(), now);
        if (held.isPresent()) {
            refuse(Refusal.ofQuarantine(held.get()));
            return;
        }
        permit = context.dispatch().nextPermit();
        long onTime = arrivedAt
                + TimeUnit.MILLISECONDS.toNanos(route.targetLatencyMillis())
                - FIRST_EVENT_RESERVE_NANOS
                - now;
        String charge = charged || lastEvent > 0 ? "" : team;
        charged = true;
        context.dispatch()
                .ask(
                        new Ask(
                                        context.dispatch().self(),
                                        permit,
                                        service,
                                        charge,
                                        context.domain(),
                                        head.promptKey(),
                                        left,
                                        onTime,
                                        Work.NONE,
                                        false,
                                        retrying,
                                        context.fleet().withLeaving(excluded))
                                .withPrompt(head.prompt()),
                        this::decided);
    }

    /** {@inheritDoc} */
    @Override
    public void left() {
        if (!ended) {
            log.callerLeft(targetId(), exchange != null);
            finish(exchange == null ? PlaceOutcome.UNUSED : PlaceOutcome.ABANDONED);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void writable(boolean value) {
        if (exchange != null) {
            exchange.setReading(value);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void endBy(long nanos) {
        if (ended || deadline - nanos <= 0) {
            return;
        }
        curtailed = true;
        deadline = nanos;
        timer.cancel(false);
        long left = Math.max(0, nanos - context.time().nanos());
        timer = context.loop().schedule(this::timedOut, left, TimeUnit.NANOSECONDS);
        if (exchange == null && attempts == 0) {
            refuse(Refusal.ofLeaving("the instance ends before the deadline"));
        }
    }

    /** Handles the decision about the place. */
    private void decided(PlacementDecision verdict) {
        if (ended) {
            return;
        }
        switch (verdict) {
            case PlacementDecision.Granted granted -> granted(granted.target());
            case PlacementDecision.Refused refused -> {
                permit = 0;
                Refusal.Kind kind = refused.reason() == PlacementDecision.Reason.RATE_LIMITED
                        ? Refusal.Kind.RATE_LIMITED
                        : Refusal.Kind.UNAVAILABLE;
                String detail = refused.detail().isEmpty() ? "" : ": " + refused.detail();
                refuse(new Refusal(
                        kind, refused.retryAfterMillis(), refused.reason().name() + detail));
            }
        }
    }

    /** Sends the request to the target at which it has a place. */
    private void granted(String id) {
        TargetEntry entry = context.fleet().usableTarget(id).orElse(null);
        long now = context.time().nanos();
        long left = TimeUnit.NANOSECONDS.toMillis(deadline - now);
        if (entry == null || left <= 0) {
            excluded.add(id);
            returnPermit(PlaceOutcome.UNUSED);
            start();
            return;
        }
        target = entry;
        startEvent = lastEvent;
        attempts++;
        log.placed(id, left, now);
        receivedAt = now;
        scheduleSilenceCheck(SILENCE_TIMEOUT_MILLIS);
        exchange = context.connections()
                .send(
                        entry,
                        new TargetRequest(
                                head.method(),
                                head.uri(),
                                head.headers(),
                                requestBody,
                                head.id(),
                                team,
                                left,
                                lastEvent),
                        this);
    }

    /**
     * Schedules the next check whether the target is silent. Only streams send data all the time, and a run that may
     * not be repeated is worth waiting for.
     */
    private void scheduleSilenceCheck(long millis) {
        if (route.kind() == RouteKind.STREAM && route.repeatable()) {
            silenceCheck = context.loop().schedule(this::checkSilence, millis, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Abandons a target that has become silent. A target whose caller does not read is not silent: it is held back by
     * flow control.
     */
    private void checkSilence() {
        if (ended || exchange == null) {
            return;
        }
        long silentMillis = TimeUnit.NANOSECONDS.toMillis(context.time().nanos() - receivedAt);
        if (silentMillis < SILENCE_TIMEOUT_MILLIS) {
            scheduleSilenceCheck(SILENCE_TIMEOUT_MILLIS - silentMillis);
        } else if (headSent && !responder.writable()) {
            scheduleSilenceCheck(SILENCE_TIMEOUT_MILLIS);
        } else {
            retryOrFail("no event came for " + silentMillis + " ms");
        }
    }

    /** {@inheritDoc} */
    @Override
    public void head(TargetHead answer, HttpResponse response) {
        receivedAt = context.time().nanos();
        if (answer.notRun() || answer.misdirected()) {
            retryNotRun("the target did not run the request", PlaceOutcome.FULL);
        } else if (headSent && !(answer.events() && answer.status() < FIRST_FAILURE_STATUS)) {
            retryOrFail("the stream cannot be resumed there: " + answer.status());
        } else if (answer.status() >= FIRST_FAILURE_STATUS && mayRepeat()) {
            retryOrFail("the target answered " + answer.status());
        } else {
            frames = answer.events() ? EventFrames.of() : null;
            if (!headSent) {
                headSent = true;
                log.answerStarted(context.time().nanos());
                responder.head(context.protocol().head(response));
            }
        }
    }

    /** {@inheritDoc} */
    @Override
    public void body(ByteBuf content) {
        if (frames == null) {
            receivedAt = context.time().nanos();
            responder.body(content.retainedSlice());
        } else {
            forwardEvents(frames, content);
        }
        if (exchange != null && !responder.writable()) {
            exchange.setReading(false);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void end() {
        if (ended) {
            return;
        }
        if (frames != null && brokenOff(frames)) {
            exchange = null;
            retryOrFail("the stream ended inside an event or before the first one", endedOutcome());
            return;
        }
        if (frames != null && frames.remainder().length > 0) {
            responder.body(Unpooled.wrappedBuffer(frames.remainder()));
        }
        exchange = null;
        finish(PlaceOutcome.SERVED);
        log.answered(targetId(), attempts, context.time().nanos());
        responder.end();
    }

    /** Returns whether a stream that has ended is not complete. One that was resumed may have no further event. */
    private boolean brokenOff(EventFrames stream) {
        return stream.insideEvent() || (!stream.eventCompleted() && lastEvent == 0);
    }

    /** {@inheritDoc} */
    @Override
    public void failed(Failure failure) {
        if (ended) {
            return;
        }
        exchange = null;
        if (failure.execution() == Execution.NOT_RUN) {
            retryNotRun(failure.detail(), PlaceOutcome.UNREACHABLE);
        } else {
            boolean connectionEnded = failure.kind() == Failure.Kind.UNAVAILABLE;
            retryOrFail(failure.detail(), connectionEnded ? endedOutcome() : PlaceOutcome.FAILED);
        }
    }

    /** Forwards complete events, so that another target can resume after the last of them. */
    private void forwardEvents(EventFrames splitter, ByteBuf content) {
        for (EventFrames.Event event : splitter.add(content)) {
            if (event.number() > 0 && event.number() <= lastEvent) {
                continue;
            }
            if (event.number() > 0) {
                lastEvent = event.number();
                receivedAt = context.time().nanos();
            } else if (route.kind() == RouteKind.STREAM && !event.comment()) {
                retryOrFail("the bytes are not an event");
                return;
            }
            responder.body(Unpooled.wrappedBuffer(event.bytes()));
        }
    }

    /** Tries another target after one that did not run the request. */
    private void retryNotRun(String detail, PlaceOutcome outcome) {
        attempts--;
        recordFailure(detail, false);
        excluded.add(targetId());
        stopExchange();
        returnPermit(outcome);
        start();
    }

    /** Tries another target after one that may have run the request if that is allowed, or else ends the call. */
    private void retryOrFail(String detail) {
        retryOrFail(detail, PlaceOutcome.FAILED);
    }

    private void retryOrFail(String detail, PlaceOutcome outcome) {
        recordFailure(detail, true);
        excluded.add(targetId());
        stopExchange();
        returnPermit(outcome);
        boolean mayRunAgain = mayRepeat() && (!headSent || (frames != null && route.resumable()));
        if (mayRunAgain) {
            start();
        } else if (headSent) {
            finish(PlaceOutcome.FAILED);
            responder.abort();
        } else {
            refuse(Refusal.of(Refusal.Kind.BROKEN, detail));
        }
    }

    /** Returns the outcome of a run whose connection has ended too early. */
    private PlaceOutcome endedOutcome() {
        return PlaceOutcome.ofEarlyEnd(lastEvent - startEvent, route.resumable());
    }

    /** Returns whether the route, its attempts and the deadline allow another run. */
    private boolean mayRepeat() {
        return route.repeatable()
                && attempts < route.attempts()
                && deadline - context.time().nanos() > FIRST_EVENT_RESERVE_NANOS;
    }

    private void timedOut() {
        if (ended) {
            return;
        }
        boolean sent = attempts > 0;
        if (headSent) {
            recordFailure("the deadline passed", true);
            finish(PlaceOutcome.ABANDONED);
            responder.abort();
        } else if (sent) {
            refuse(Refusal.of(Refusal.Kind.TIMEOUT, "no answer came in time"));
        } else {
            refuse(new Refusal(Refusal.Kind.UNAVAILABLE, RETRY_AFTER_MILLIS, "no place was free in time"));
        }
    }

    /**
     * Answers with a refusal. A refusal that promises that the request has not run is replaced if a target may have run
     * it.
     */
    private void refuse(Refusal refusal) {
        boolean promisesNotRun =
                refusal.kind() == Refusal.Kind.UNAVAILABLE || refusal.kind() == Refusal.Kind.RATE_LIMITED;
        Refusal reported = promisesNotRun && attempts > 0 ? Refusal.of(Refusal.Kind.BROKEN, refusal.detail()) : refusal;
        log.refused(reported, context.time().nanos());
        boolean streaming = headSent;
        finish(exchange == null ? PlaceOutcome.UNUSED : PlaceOutcome.FAILED);
        if (streaming) {
            responder.abort();
        } else {
            responder.full(context.protocol().refusal(reported));
        }
    }

    /** Ends the call and releases its resources. */
    private void finish(PlaceOutcome outcome) {
        ended = true;
        timer.cancel(false);
        stopExchange();
        returnPermit(outcome);
        requestBody.release();
    }

    /** Ends the current exchange, if there is one. */
    private void stopExchange() {
        if (silenceCheck != null) {
            silenceCheck.cancel(false);
            silenceCheck = null;
        }
        if (exchange != null) {
            exchange.cancel();
            exchange = null;
        }
    }

    /** Releases the permit, if there is one. */
    private void returnPermit(PlaceOutcome outcome) {
        if (permit != 0) {
            context.dispatch().release(permit, outcome);
            permit = 0;
        }
    }

    private void recordFailure(String detail, boolean mayHaveRun) {
        log.exchangeFailed(targetId(), detail, mayHaveRun, lastEvent - startEvent, lastEvent, attempts);
    }

    /** Returns the identity of the current or last target; empty if there is none. */
    private String targetId() {
        return target == null ? "" : target.id();
    }
}
