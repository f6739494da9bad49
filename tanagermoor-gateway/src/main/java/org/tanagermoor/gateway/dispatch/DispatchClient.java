package org.tanagermoor.gateway.dispatch;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.gateway.member.Instance;
import org.tanagermoor.gateway.member.Liveness;
import org.tanagermoor.gateway.proto.LeavingTarget;
import org.tanagermoor.gateway.proto.PermitAnswer;
import org.tanagermoor.gateway.proto.PermitCall;
import org.tanagermoor.gateway.proto.PermitRecall;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.policy.quarantine.Crash;
import org.tanagermoor.policy.share.Loan;
import org.tanagermoor.wire.link.Channel;
import org.tanagermoor.wire.link.PeerLink;
import reactor.core.publisher.Mono;

/**
 * Asks the dispatcher of the fleet for places. The dispatcher is the one instance that decides for all; one that does
 * not answer is replaced at once by the instance that ranks next, and items of jobs wait briefly after each change.
 * Confined to the event loop.
 */
public final class DispatchClient {

    /** The timeout of a call; the dispatcher answers within 200 ms even if it has not decided. */
    private static final Duration TIMEOUT = Duration.ofMillis(500);

    /** The same for items of jobs, for which the dispatcher answers within a second. */
    private static final Duration BATCH_TIMEOUT = Duration.ofMillis(1_500);

    /** The maximum time for which a returned permit waits for another message to be sent with, in milliseconds. */
    private static final long RETURN_MILLIS = 4;

    /** The time after which an item of a job asks again while the dispatcher is not settled, in milliseconds. */
    private static final long BATCH_RETRY_MILLIS = 300;

    /**
     * The time after a change of the dispatcher before items of jobs ask at an instance that has just started, in
     * nanoseconds: instances that start at the same time each consider themselves the dispatcher.
     */
    private static final long BATCH_SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    /**
     * The time after its start for which an instance that knows no other running instance does not start items, in
     * nanoseconds.
     */
    private static final long ALONE_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** The minimum time between two records of the part of the rates that this instance admits, in nanoseconds. */
    private static final long FRACTION_RECORD_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final EventLoop loop;

    private final PeerLink link;

    /** Tells which instances run, and which of them is the dispatcher. */
    private final Liveness liveness;

    /** Decides on asks when this instance is the dispatcher. */
    private final DispatchServer localServer;

    /** The part of the rates that this instance may admit, and the loans of its share. */
    private final RateAllocation allocation;

    /** The targets that have told this instance that they are leaving. */
    private Supplier<Collection<TargetEntry>> leavingTargets = List::of;

    private final EventLog events;

    private final TimeSource time;

    /** The identity of this instance, under which it holds permits. */
    private final String self;

    /** The asks that are pending or granted, by the number of the permit. */
    private final Map<Long, Placement> placements = new HashMap<>();

    /** The ends of returned permits that the dispatcher has not been told of, by the number of the permit. */
    private final Map<Long, PlaceEnd> pendingReturns = new HashMap<>();

    /** What a new dispatcher is told about targets that crashed under requests of this instance. */
    private final CrashReports crashReports = CrashReports.of();

    /** What this instance knows of the request limits of targets. */
    private final LimitReports limits;

    /** The fraction of the places that online requests leave free, by service, as a dispatcher last reported it. */
    private final Map<String, Double> headroomByService = new HashMap<>();

    /** The dispatcher that was last asked; {@code null} before the first. */
    @Nullable
    private Instance lastDispatcher;

    /** The monotonic time of the start in nanoseconds. */
    private final long startedAt;

    /** The monotonic time in nanoseconds of the last change of the dispatcher. */
    private long changedAt;

    /** The monotonic time in nanoseconds of the last call to a dispatcher. */
    private long calledAt;

    /** The part of the rates that was last recorded. */
    private double recordedFraction;

    /** The monotonic time in nanoseconds at which it was. */
    private long fractionRecordedAt;

    /** Whether a message with returned permits is scheduled. */
    private boolean returnScheduled;

    /** Whether the dispatcher may still count places that are no longer in use. */
    private boolean placesReported;

    /** The number of the last permit. */
    private long lastPermit;

    private DispatchClient(
            EventLoop loop,
            PeerLink link,
            Liveness liveness,
            DispatchServer localServer,
            EventLog events,
            TimeSource time) {
        this.loop = loop;
        this.link = link;
        this.liveness = liveness;
        this.localServer = localServer;
        allocation = localServer.allocation();
        this.events = events;
        limits = LimitReports.of(events);
        this.time = time;
        self = liveness.self().id().toString();
        startedAt = time.nanos();
        changedAt = startedAt;
        calledAt = startedAt;
        fractionRecordedAt = startedAt - FRACTION_RECORD_NANOS;
    }

    /** Returns a client that uses the given dispatch server while this instance is the dispatcher. */
    public static DispatchClient of(
            EventLoop loop,
            PeerLink link,
            Liveness liveness,
            DispatchServer localServer,
            EventLog events,
            TimeSource time) {
        return new DispatchClient(loop, link, liveness, localServer, events, time);
    }

    /** Sets the handler that receives the numbers of permits recalled by a dispatcher on another instance. */
    public void recallHandler(Consumer<Long> consumer) {
        link.handle(
                Channel.RECALL,
                (from, request) -> Mono.fromSupplier(() -> {
                    try {
                        PermitRecall recall = PermitRecall.parseFrom(request);
                        loop.execute(() -> recall.getPermitsList().forEach(consumer));
                        return Either.right(new byte[0]);
                    } catch (InvalidProtocolBufferException exception) {
                        return Either.left(Failure.notRun(
                                Failure.Kind.INVALID,
                                "dispatch.recall",
                                from.toString(),
                                String.valueOf(exception.getMessage())));
                    }
                }));
    }

    /** Sets the source of the targets that have told this instance that they are leaving. */
    public void leavingTargets(Supplier<Collection<TargetEntry>> value) {
        leavingTargets = value;
    }

    /**
     * Records what the answer of a target says about its request limit, and tells the dispatcher of a change.
     *
     * @param target The target.
     * @param perSecond The requests per second that it takes from all instances together; empty if it names no limit.
     */
    public void requestLimit(TargetEntry target, OptionalDouble perSecond) {
        if (limits.observe(new LimitReport(target.id(), target.startedAtMillis(), perSecond, time.nanos()))) {
            scheduleReturns();
        }
    }

    /** Tells the dispatcher on this instance what this instance knows of request limits. */
    private void reportLimitsLocally(long now) {
        limits.take(self, now)
                .forEach(limit -> localServer.dispatcher().limits().report(limit, now));
    }

    /** Returns the identity of this instance, under which it holds permits. */
    public String self() {
        return self;
    }

    /** Returns a new number for a permit. */
    public long nextPermit() {
        return ++lastPermit;
    }

    /**
     * Asks for a place. The decision is delivered once, unless the ask is cancelled.
     *
     * @param ask The ask, with a permit number that is not in use.
     * @param answer Receives the decision.
     */
    public void ask(Ask ask, Consumer<PlacementDecision> answer) {
        Placement placement = new Placement(ask, answer, time.nanos());
        placements.put(ask.permit(), placement);
        request(placement);
    }

    /**
     * Returns a permit, or cancels an ask.
     *
     * @param permit The number of the permit.
     * @param outcome How the use of the place ended.
     */
    public void release(long permit, PlaceOutcome outcome) {
        release(permit, outcome, RunAnswer.NONE);
    }

    /**
     * Returns a permit, or cancels an ask.
     *
     * @param permit The number of the permit.
     * @param outcome How the use of the place ended.
     * @param answer How the target answered.
     */
    public void release(long permit, PlaceOutcome outcome, RunAnswer answer) {
        Placement placement = placements.remove(permit);
        if (placement == null) {
            return;
        }
        remember(placement, outcome);
        if (placement.local) {
            localServer.dispatcher().release(self, permit, outcome, answer, time.nanos());
        } else {
            pendingReturns.put(permit, new PlaceEnd(outcome, answer));
            scheduleReturns();
        }
    }

    /** Remembers what the end of a run says about its prompt. */
    private void remember(Placement placement, PlaceOutcome outcome) {
        Ask ask = placement.ask;
        if (outcome == PlaceOutcome.SERVED) {
            crashReports.answered(ask.prompt().marks());
        }
        outcome.suspected(ask.prompt())
                .ifPresent(prompt -> crashReports.add(
                        ask.permit(),
                        new Crash(
                                DispatchCodec.run(self, ask.permit()),
                                self,
                                placement.target,
                                prompt,
                                placement.grantedAt,
                                time.nanos())));
    }

    /**
     * Detects a change of the dispatcher, and hands the pending asks over to the new one.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public void tick(long now) {
        Instance dispatcher = liveness.dispatcher(now);
        boolean dispatching = dispatcher.id().equals(liveness.self().id());
        if (lastDispatcher != null && dispatcher.id().equals(lastDispatcher.id())) {
            allocation.update(now);
            recordFraction(now);
            return;
        }
        if (lastDispatcher != null && liveness.ended(lastDispatcher.id())) {
            allocation.shares().released(lastDispatcher.id().toString(), now);
        }
        allocation.apply(now);
        recordFraction(now);
        events.record(GatewayEvent.DISPATCHER_CHANGED, "dispatcher", dispatcher.id());
        lastDispatcher = dispatcher;
        changedAt = now;
        pendingReturns.clear();
        if (dispatching) {
            localServer.takeOver(headroomByService, now);
            reportLimitsLocally(now);
            List<Placement> asking = placements.values().stream()
                    .filter(placement -> !placement.local && placement.target.isEmpty())
                    .toList();
            placements.values().forEach(placement -> placement.local = true);
            localServer.dispatcher().resync(self, occupiedPlaces(), now);
            crashReports.crashes().forEach(crash -> localServer.dispatcher().crashed(crash, now));
            asking.forEach(placement -> request(placement, now));
        } else {
            localServer.end();
            placesReported = true;
            reportAll();
        }
    }

    /** Records a change of the part of the rates that this instance may admit. */
    private void recordFraction(long now) {
        double fraction = allocation.rates().fraction();
        if (fraction != recordedFraction && now - fractionRecordedAt >= FRACTION_RECORD_NANOS) {
            recordedFraction = fraction;
            fractionRecordedAt = now;
            events.record(
                    GatewayEvent.RATE_SHARE_CHANGED,
                    "fraction",
                    fraction,
                    "shares",
                    allocation.shares().had(now).size(),
                    "known",
                    liveness.known(now).size() + 1,
                    "lost",
                    allocation.shares().lost(now));
        }
    }

    /** Renews the loan of this instance's share, unless another call to the dispatcher has done so recently. */
    public void renewLoan() {
        long now = time.nanos();
        tick(now);
        Instance dispatcher = liveness.dispatcher(now);
        if (!dispatcher.id().equals(liveness.self().id()) && allocation.renewalDue(calledAt, limits.anyNamed(), now)) {
            call(dispatcher, PermitCall.newBuilder(), false, result -> {
                if (result.isLeft()) {
                    dispatcherSilent(dispatcher, result.getLeft());
                }
            });
        }
    }

    /** Returns whether this instance started recently and knows no other running instance. */
    private boolean starting(long now) {
        return now - startedAt < ALONE_NANOS && liveness.running(now).isEmpty();
    }

    /**
     * Reports all places in use to the dispatcher of the fleet, so that a lost message does not occupy a place forever.
     */
    public void reportAll() {
        long now = time.nanos();
        Instance dispatcher = liveness.dispatcher(now);
        boolean dispatching = dispatcher.id().equals(liveness.self().id());
        if (dispatching) {
            reportLimitsLocally(now);
            localServer.dispatcher().resync(self, occupiedPlaces(), now);
        } else if (!placements.isEmpty()
                || placesReported
                || localServer.dispatcher().hasRollouts()) {
            placesReported = !placements.isEmpty();
            call(dispatcher, PermitCall.newBuilder(), true, result -> {
                if (result.isLeft()) {
                    // An instance without places would not report again, and the dispatcher may wait for its report.
                    placesReported = true;
                    dispatcherSilent(dispatcher, result.getLeft());
                }
            });
        }
    }

    /** Sends or decides an ask, unless a change of the dispatcher that is detected first has already done so. */
    private void request(Placement placement) {
        long now = time.nanos();
        tick(now);
        if (placements.get(placement.ask.permit()) == placement && placement.target.isEmpty()) {
            request(placement, now);
        }
    }

    /** Sends or decides an ask. */
    private void request(Placement placement, long now) {
        Instance dispatcher = liveness.dispatcher(now);
        if (placement.ask.batch() && !settled(now)) {
            finish(placement, new PlacementDecision.Refused(PlacementDecision.Reason.OVERLOADED, BATCH_RETRY_MILLIS));
        } else if (dispatcher.id().equals(liveness.self().id())) {
            decideLocally(placement);
        } else {
            send(dispatcher, placement, false);
        }
    }

    /**
     * Returns whether the dispatcher is settled: it is not while instances that start at the same time discover each
     * other.
     */
    private boolean settled(long now) {
        return now - startedAt >= ALONE_NANOS || (now - changedAt >= BATCH_SETTLE_NANOS && !starting(now));
    }

    /** Asks the dispatcher on this instance. */
    private void decideLocally(Placement placement) {
        placement.local = true;
        localServer.ask(placement.currentAsk(time.nanos()), answer -> handleAnswer(placement, answer));
    }

    /** Asks the dispatcher on another instance. */
    private void send(Instance dispatcher, Placement placement, boolean resync) {
        placement.local = false;
        PermitCall.Builder call =
                PermitCall.newBuilder().setAsk(DispatchCodec.toMessage(placement.currentAsk(time.nanos())));
        call(dispatcher, call, resync, result -> {
            if (placements.get(placement.ask.permit()) != placement || placement.local) {
                return;
            }
            if (result.isLeft()) {
                dispatcherSilent(dispatcher, result.getLeft());
                pendingReturns.put(placement.ask.permit(), PlaceEnd.UNUSED);
                request(placement);
            } else if (result.get().getKind() == PermitAnswer.Kind.RESYNC) {
                send(dispatcher, placement, true);
            } else {
                handleAnswer(placement, result.get());
            }
        });
    }

    /** Sends a message to the dispatcher, together with the returned permits. */
    private void call(
            Instance dispatcher,
            PermitCall.Builder call,
            boolean resync,
            Consumer<Either<Failure, PermitAnswer>> consumer) {
        long sentAt = time.nanos();
        Map<Long, PlaceEnd> sent = new HashMap<>(pendingReturns);
        pendingReturns.clear();
        sent.forEach((permit, end) -> call.addReturns(DispatchCodec.toMessage(permit, end, sentAt)));
        if (resync) {
            call.setResync(true);
            occupiedPlaces().forEach(place -> call.addHeld(DispatchCodec.toMessage(place)));
            call.addAllCrashes(crashReports.messages(time.nanos()));
            placements.values().stream()
                    .filter(placement -> !placement.target.isEmpty())
                    .forEach(placement -> placement.local = false);
            localServer.dispatcher().forget(self, time.nanos());
        }
        leavingTargets
                .get()
                .forEach(target -> call.addLeaving(
                        LeavingTarget.newBuilder().setId(target.id()).setStartedMillis(target.startedAtMillis())));
        List<LimitReport> sentLimits = limits.take(dispatcher.id().toString(), sentAt);
        sentLimits.forEach(limit -> call.addLimits(DispatchCodec.toMessage(limit, sentAt)));
        calledAt = sentAt;
        Loan loan = allocation.lend(dispatcher.id(), call, sentAt);
        link.call(
                        dispatcher.peer(),
                        dispatcher.id().incarnation(),
                        Channel.DISPATCH,
                        call.build().toByteArray(),
                        call.getAsk().getBatch() ? BATCH_TIMEOUT : TIMEOUT)
                .map(DispatchClient::read)
                .subscribe(result -> loop.execute(() -> {
                    if (result.isRight()) {
                        allocation.answered(dispatcher.id(), result.get(), loan, sentAt, time.nanos());
                    }
                    if (result.isLeft()) {
                        limits.lost(sentLimits);
                    }
                    if (result.isLeft()
                            && lastDispatcher != null
                            && lastDispatcher.id().equals(dispatcher.id())) {
                        sent.forEach(pendingReturns::putIfAbsent);
                    }
                    consumer.accept(result);
                }));
    }

    /** Handles an answer. One to an ask that another dispatcher has already decided is ignored. */
    private void handleAnswer(Placement placement, PermitAnswer answer) {
        if (placements.get(placement.ask.permit()) != placement || !placement.target.isEmpty()) {
            return;
        }
        DispatchCodec.headroom(answer).ifPresent(fraction -> headroomByService.put(placement.ask.service(), fraction));
        switch (answer.getKind()) {
            case GRANTED -> {
                placement.target = answer.getTarget();
                placement.grantedAt = time.nanos();
                limits.granted(answer, placement.grantedAt);
                placement.answer.accept(new PlacementDecision.Granted(answer.getTarget()));
            }
            case RATE_LIMITED, OVERLOADED, NO_TARGET, QUARANTINED -> finish(placement, DispatchCodec.refusal(answer));
            default -> request(placement);
        }
    }

    /** Ends an ask with a refusal. */
    private void finish(Placement placement, PlacementDecision.Refused refused) {
        placements.remove(placement.ask.permit());
        placement.answer.accept(refused);
    }

    /** Records that the dispatcher does not answer, and switches to the next one. */
    private void dispatcherSilent(Instance dispatcher, Failure failure) {
        long now = time.nanos();
        if (lastDispatcher != null && lastDispatcher.id().equals(dispatcher.id())) {
            events.record(GatewayEvent.DISPATCHER_SILENT, "dispatcher", dispatcher.id(), "failure", failure);
            liveness.suspect(dispatcher.id(), now);
            tick(now);
        }
    }

    /** Schedules a message with the returned permits. */
    private void scheduleReturns() {
        if (!returnScheduled) {
            returnScheduled = true;
            loop.schedule(this::sendReturns, RETURN_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Sends the returned permits and the changes of request limits that no ask has carried along. */
    private void sendReturns() {
        returnScheduled = false;
        long now = time.nanos();
        if (pendingReturns.isEmpty() && !limits.due()) {
            return;
        }
        Instance dispatcher = liveness.dispatcher(now);
        if (dispatcher.id().equals(liveness.self().id())) {
            pendingReturns.clear();
            reportLimitsLocally(now);
        } else {
            call(dispatcher, PermitCall.newBuilder(), false, result -> {
                if (result.isLeft()) {
                    dispatcherSilent(dispatcher, result.getLeft());
                    scheduleReturns();
                }
            });
        }
    }

    /** Returns the places that this instance occupies. */
    private List<OccupiedPlace> occupiedPlaces() {
        List<OccupiedPlace> result = new ArrayList<>();
        placements.values().forEach(placement -> {
            if (!placement.target.isEmpty()) {
                result.add(placement.place(time.nanos()));
            }
        });
        return result;
    }

    /** Parses the answer of a dispatcher. */
    private static Either<Failure, PermitAnswer> read(Either<Failure, byte[]> answer) {
        return answer.flatMap(bytes -> {
            try {
                return Either.right(PermitAnswer.parseFrom(bytes));
            } catch (InvalidProtocolBufferException exception) {
                return Either.left(Failure.unknown(
                        Failure.Kind.CORRUPT,
                        "dispatch.answer",
                        Failure.LOCAL,
                        String.valueOf(exception.getMessage())));
            }
        });
    }
}
