package org.tanagermoor.gateway.edge;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
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
import org.tanagermoor.gateway.dispatch.RequestTraits;
import org.tanagermoor.gateway.dispatch.RunMeter;
import org.tanagermoor.gateway.dispatch.Work;
import org.tanagermoor.gateway.fleet.Route;
import org.tanagermoor.gateway.fleet.RouteKind;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.gateway.forward.Delivery;
import org.tanagermoor.gateway.forward.EventFrames;
import org.tanagermoor.gateway.forward.TargetHead;
import org.tanagermoor.gateway.forward.TargetRequest;
import org.tanagermoor.gateway.forward.Verdict;
import org.tanagermoor.kernel.failure.Execution;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.quarantine.QuarantineDecision;

/**
 * An online request, from its admission to the end of its answer. It runs at one target at a time. It is sent to
 * another target only if the first one did not run it, or if the route allows a repetition. Confined to the event loop.
 */
final class OnlineCall implements Call {

    /**
     * The time that is reserved for a target to send its first event, in nanoseconds: above the 99th percentile
     * under normal conditions. An answer whose place is granted later is late.
     */
    private static final long FIRST_EVENT_RESERVE_NANOS = TimeUnit.MILLISECONDS.toNanos(110);

    /** The first status of a failure that another target may not have. */
    private static final int FIRST_REPEATABLE_STATUS = 500;

    /** The time after which a caller may retry when no better value is known, in milliseconds. */
    private static final long RETRY_AFTER_MILLIS = 250;

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

    /** The current or last run; {@code null} before the first one. */
    @Nullable
    private OnlineRun run;

    /** Measures the current run at a target. */
    private RunMeter meter = RunMeter.idle();

    /** The number of the current permit; 0 if there is none. */
    private long permit;

    /** The number of targets that may have run the request. */
    private int attempts;

    /** Whether the request has been charged to the rate of its team. */
    private boolean charged;

    /** Whether the head of an answer was sent to the caller. */
    private boolean headSent;

    /** Whether the answer that is passed on is a successful stream of events, the only one that can be resumed. */
    private boolean streaming;

    /** Whether the head of a success was received in the current run. */
    private boolean accepted;

    /** The number of the last event that was sent to the caller. */
    private long lastEvent;

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
                                .withPrompt(head.prompt())
                                .withTraits(RequestTraits.of(
                                        route, team, 0, context.fleet().configuration())),
                        this::decided);
    }

    /** {@inheritDoc} */
    @Override
    public void left() {
        if (!ended) {
            log.callerLeft(targetId(), running());
            finish(running() ? PlaceOutcome.ABANDONED : PlaceOutcome.UNUSED);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void writable(boolean value) {
        if (run != null) {
            run.setReading(value);
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
        if (!running() && attempts == 0) {
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
        attempts++;
        log.placed(id, permit, left, now);
        accepted = false;
        run = new OnlineRun(context, this, entry, lastEvent);
        meter = RunMeter.of(now);
        // A run that may not be repeated is worth waiting for.
        run.start(
                new TargetRequest(
                        head.method(), head.uri(), head.headers(), requestBody, head.id(), team, left, lastEvent),
                route.kind() == RouteKind.STREAM && route.repeatable());
    }

    /** Handles the head of the answer in a run. */
    void headReceived(OnlineRun from, TargetHead answer, HttpResponse response) {
        log.headReceived(answer);
        meter.head(answer, context.time().nanos());
        Verdict verdict = Verdict.of(answer);
        accepted = verdict instanceof Verdict.Succeeded;
        switch (verdict) {
            case Verdict.NotRun notRun -> retryNotRun("the target did not run the request", PlaceOutcome.FULL);
            case Verdict.Unproven unproven -> retryOrFail("the target did not sign its answer: " + unproven.status());
            case Verdict.Failed failed
            when headSent -> retryOrFail("the stream cannot be resumed there: " + failed.status());
            case Verdict.Failed failed
            when failed.status() >= FIRST_REPEATABLE_STATUS && mayRepeat() ->
                retryOrFail("the target answered " + failed.status());
            case Verdict.Failed failed -> passOn(from, answer, response);
            case Verdict.Succeeded succeeded
            when headSent && !answer.events() -> retryOrFail("the answer does not continue the stream");
            case Verdict.Succeeded succeeded -> {
                streaming = answer.events();
                if (headSent) {
                    from.splitIntoEvents();
                } else {
                    passOn(from, answer, response);
                }
            }
        }
    }

    /** Begins to pass on the answer in the current run. */
    private void passOn(OnlineRun from, TargetHead answer, HttpResponse response) {
        headSent = true;
        if (answer.events()) {
            from.splitIntoEvents();
        }
        log.answerStarted(context.time().nanos());
        HttpResponse forwarded = context.protocol().head(response);
        if (streaming) {
            // The rest may come from another run, whose bytes differ.
            forwarded.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        }
        responder.head(forwarded);
    }

    /** Passes on a piece of a body that is not split into events. */
    void bodyReceived(ByteBuf content) {
        responder.body(content);
    }

    /** Forwards a complete event, so that another target can resume after it. */
    void eventReceived(OnlineRun from, EventFrames.Event event) {
        if (streaming && event.number() > 0 && event.number() <= lastEvent) {
            return;
        }
        if (continues(from) && lastEvent == from.startEvent() && event.number() > lastEvent + 1) {
            retryOrFail("event " + event.number() + " came after event " + lastEvent);
            return;
        }
        if (event.number() > 0) {
            lastEvent = Math.max(lastEvent, event.number());
            from.received();
        } else if (route.kind() == RouteKind.STREAM && !event.comment()) {
            retryOrFail("the bytes are not an event");
            return;
        }
        if (!event.comment()) {
            meter.event(context.time().nanos());
        }
        responder.body(Unpooled.wrappedBuffer(event.bytes()));
    }

    /** Returns whether the caller takes more bytes. */
    boolean callerReads() {
        return !headSent || responder.writable();
    }

    /** Ends the run at a target that has been silent for a time in milliseconds. */
    void targetSilent(long millis) {
        retryOrFail("no event came for " + millis + " ms");
    }

    /**
     * Handles the end of the answer in a run.
     *
     * @param from The run.
     * @param stream The splitter of the answer; {@code null} if it is not split into events.
     * @param delivery How the answer was delivered.
     */
    void answerEnded(OnlineRun from, @Nullable EventFrames stream, Delivery delivery) {
        if (stream != null && brokenOff(from, stream)) {
            retryOrFail(
                    "the stream ended inside an event or before the first one",
                    delivery.framed() ? PlaceOutcome.FAILED : endedOutcome());
            return;
        }
        if (stream != null && stream.remainder().length > 0) {
            responder.body(Unpooled.wrappedBuffer(stream.remainder()));
        }
        finish(PlaceOutcome.SERVED);
        log.answered(
                from.targetId(),
                lastEvent - from.startEvent(),
                lastEvent,
                attempts,
                delivery,
                context.time().nanos());
        responder.end();
    }

    /**
     * Returns whether a stream that has ended is not complete. A run that continues the stream of another must bring an
     * event, since nothing else shows that there was none left. A failure may have no event.
     */
    private boolean brokenOff(OnlineRun from, EventFrames stream) {
        boolean empty = continues(from) ? lastEvent == from.startEvent() : !stream.eventCompleted() && lastEvent == 0;
        return stream.insideEvent() || (streaming && empty);
    }

    /** Returns whether a run continues the stream of another one. */
    private boolean continues(OnlineRun from) {
        return from.startEvent() > head.lastEvent();
    }

    /** Handles the failure of a run. */
    void runFailed(OnlineRun from, Failure failure) {
        if (failure.execution() == Execution.NOT_RUN) {
            retryNotRun(failure.detail(), PlaceOutcome.UNREACHABLE);
        } else {
            boolean connectionEnded = failure.kind() == Failure.Kind.UNAVAILABLE;
            retryOrFail(failure.detail(), connectionEnded ? endedOutcome() : PlaceOutcome.FAILED);
        }
    }

    /** Tries another target after one that did not run the request. */
    private void retryNotRun(String detail, PlaceOutcome outcome) {
        attempts--;
        recordFailure(detail, false);
        excluded.add(targetId());
        stopRun();
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
        stopRun();
        returnPermit(outcome);
        boolean mayRunAgain = mayRepeat() && (!headSent || (streaming && route.resumable()));
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
        return PlaceOutcome.ofEarlyEnd(accepted, runEvents(), route.resumable());
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
        finish(running() ? PlaceOutcome.FAILED : PlaceOutcome.UNUSED);
        if (headSent) {
            responder.abort();
        } else {
            responder.full(context.protocol().refusal(reported));
        }
    }

    /** Ends the call and releases its resources. */
    private void finish(PlaceOutcome outcome) {
        ended = true;
        timer.cancel(false);
        stopRun();
        returnPermit(outcome);
        requestBody.release();
    }

    /** Ends the current run, if there is one. */
    private void stopRun() {
        if (run != null) {
            run.stop();
        }
    }

    /** Returns whether the request is at a target. */
    private boolean running() {
        return run != null && !run.ended();
    }

    /** Releases the permit, if there is one. */
    private void returnPermit(PlaceOutcome outcome) {
        if (permit != 0) {
            context.dispatch().release(permit, outcome, meter.end(context.time().nanos()));
            permit = 0;
            meter = RunMeter.idle();
        }
    }

    private void recordFailure(String detail, boolean mayHaveRun) {
        log.exchangeFailed(targetId(), detail, mayHaveRun, runEvents(), lastEvent, attempts);
    }

    /** Returns the number of events of the current or last run. */
    private long runEvents() {
        return run == null ? 0 : lastEvent - run.startEvent();
    }

    /** Returns the identity of the current or last target; empty if there is none. */
    private String targetId() {
        return run == null ? "" : run.targetId();
    }
}
