package org.tanagermoor.gateway.dispatch;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.member.Liveness;
import org.tanagermoor.gateway.proto.LeavingTarget;
import org.tanagermoor.gateway.proto.PermitAnswer;
import org.tanagermoor.gateway.proto.PermitCall;
import org.tanagermoor.gateway.proto.PermitRecall;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.quarantine.IsolatedRuns;
import org.tanagermoor.policy.quarantine.IsolationStep;
import org.tanagermoor.policy.quarantine.Quarantine;
import org.tanagermoor.policy.quarantine.QuarantineEntry;
import org.tanagermoor.policy.rollout.RolloutView;
import org.tanagermoor.wire.link.Channel;
import org.tanagermoor.wire.link.PeerLink;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** Answers the asks of this and other instances with the decisions of a dispatcher. Confined to the event loop. */
public final class DispatchServer implements DispatchSink {

    /** The maximum time for which an ask stays unanswered, in milliseconds; its holder then repeats it. */
    private static final long ANSWER_MILLIS = 200;

    /** The same for an item of a job, which is not urgent. */
    private static final long BATCH_ANSWER_MILLIS = 1_000;

    /** The interval at which queued asks are checked, in milliseconds. */
    private static final long CHECK_MILLIS = 25;

    /**
     * The time after which a new dispatcher no longer waits for instances that have not reported their places in use,
     * in nanoseconds: several checks of an instance for a change of the dispatcher.
     */
    private static final long REPORT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    /** The timeout of a recall sent to the holder of a permit. */
    private static final java.time.Duration RECALL_TIMEOUT = java.time.Duration.ofMillis(500);

    /**
     * The time without a call after which an instance may use another dispatcher, in nanoseconds: above the interval at
     * which each instance reports its places during a roll-out.
     */
    private static final long CONTACT_NANOS = TimeUnit.SECONDS.toNanos(3);

    /**
     * The silence after which an instance that did not report counts as ended, in nanoseconds: the bound within which
     * the directory drops a lost instance.
     */
    private static final long LOST_NANOS = TimeUnit.SECONDS.toNanos(6);

    /** The age of a report that was never made, in nanoseconds. */
    private static final long NEVER_NANOS = TimeUnit.DAYS.toNanos(1_000);

    private final EventLoop loop;

    private final PeerLink link;

    /** Tells which instances run. */
    private final Liveness liveness;

    private final TimeSource time;

    private final Dispatcher dispatcher;

    /** The part of the rates that this instance may admit. */
    private final RateAllocation allocation;

    /** The receivers of answers to queued asks, by the identity of the run. */
    private final Map<String, Consumer<PermitAnswer>> waiting = new HashMap<>();

    /** When each instance called this one, by its identity. */
    private final Map<String, Contact> contacts = new HashMap<>();

    /**
     * The monotonic time in nanoseconds at which this instance became the dispatcher; empty if it is not the
     * dispatcher.
     */
    private OptionalLong tookOverAt = OptionalLong.empty();

    /** Whether a check of the queued asks is scheduled. */
    private boolean checkScheduled;

    /** Receives the numbers of recalled permits that this instance holds. */
    private Consumer<Long> localRecallHandler = permit -> {};

    /** Receives the targets that have told another instance that they are leaving. */
    private Consumer<LeavingTarget> leavingHandler = target -> {};

    /** Receives the new records of parts of prompts that are held back, tried or released. */
    private Consumer<QuarantineEntry> quarantineHandler = entry -> {};

    /** Receives the beginnings and ends of trials of parts that are held back. */
    private Consumer<Trial> trialHandler = trial -> {};

    /** The log; empty before it is set. */
    private Optional<EventLog> log = Optional.empty();

    private DispatchServer(
            EventLoop loop, PeerLink link, Liveness liveness, TimeSource time, TeamRates rates, Quarantine quarantine) {
        this.loop = loop;
        this.link = link;
        this.liveness = liveness;
        this.time = time;
        allocation = RateAllocation.of(liveness, rates, time.nanos());
        dispatcher = Dispatcher.of(this, rates, quarantine);
    }

    /** Returns a server that handles its channel of the link. */
    public static DispatchServer of(
            EventLoop loop, PeerLink link, Liveness liveness, TimeSource time, TeamRates rates, Quarantine quarantine) {
        DispatchServer server = new DispatchServer(loop, link, liveness, time, rates, quarantine);
        link.handle(Channel.DISPATCH, server::handle);
        return server;
    }

    /** Returns the dispatcher whose decisions this server answers with. */
    public Dispatcher dispatcher() {
        return dispatcher;
    }

    /** Returns the part of the rates that this instance may admit. */
    RateAllocation allocation() {
        return allocation;
    }

    /** Sets the handler that receives the numbers of recalled permits that this instance holds. */
    public void localRecallHandler(Consumer<Long> value) {
        localRecallHandler = value;
    }

    /** Sets the handler that receives the new records of parts of prompts that are held back, tried or released. */
    public void quarantineHandler(Consumer<QuarantineEntry> value) {
        quarantineHandler = value;
    }

    /** Sets the handler that receives the beginnings and ends of trials of parts that are held back. */
    public void trialHandler(Consumer<Trial> value) {
        trialHandler = value;
    }

    /** Sets the log of what is done for items with a part that is held back. */
    public void log(EventLog value) {
        log = Optional.of(value);
    }

    /** Sets the handler that receives the targets that have told another instance that they are leaving. */
    public void leavingHandler(Consumer<LeavingTarget> value) {
        leavingHandler = value;
    }

    /**
     * Starts to dispatch, as the successor of another instance or as the first one.
     *
     * @param headroomByService The fraction of the places that online requests leave free, by service, as last
     *     reported.
     * @param now The current monotonic time in nanoseconds.
     */
    void takeOver(Map<String, Double> headroomByService, long now) {
        tookOverAt = OptionalLong.of(now);
        dispatcher.takeOver(headroomByService);
        dispatcher.limits().sendsKnown(false, now);
    }

    /** Records that another instance is the dispatcher. */
    void end() {
        tookOverAt = OptionalLong.empty();
    }

    /**
     * Returns whether all places in use are known: every running instance has reported, or has had enough time for it.
     */
    private boolean allPlacesKnown(long now) {
        return tookOverAt.isPresent()
                && (now - tookOverAt.getAsLong() >= REPORT_TIMEOUT_NANOS
                        || liveness.running(now).stream()
                                .allMatch(instance ->
                                        dispatcher.hasReported(instance.id().toString())));
    }

    /** Tells the dispatcher whether all places in use and all recent requests are known. */
    private void updateKnown(long now) {
        boolean known = allPlacesKnown(now);
        dispatcher.batchPaused(!known, now);
        if (known || tookOverAt.isEmpty()) {
            dispatcher.limits().sendsKnown(true, now);
        }
    }

    /**
     * Returns what this instance sees of a service in a roll-out.
     *
     * @param service The name of the service.
     * @param stateFresh Whether the row of the state was read or written recently.
     * @param now The current monotonic time in nanoseconds.
     * @return The view.
     */
    public RolloutView rolloutView(String service, boolean stateFresh, long now) {
        RolloutPlaces places = dispatcher.rolloutPlaces(service, now);
        return new RolloutView(
                places.newPlaces(), places.placesInUse(), places.oldPlacesInUse(), allReported(now), stateFresh);
    }

    /**
     * Returns whether no place in use can be unknown here: this instance is the dispatcher, every running instance has
     * reported its places since then and calls no other dispatcher, and no other instance may still run.
     */
    private boolean allReported(long now) {
        return tookOverAt.isPresent()
                && liveness.running(now).stream()
                        .map(instance -> contacts.get(instance.id().toString()))
                        .allMatch(contact -> contact != null
                                && contact.reportedAt - tookOverAt.getAsLong() >= 0
                                && now - contact.calledAt <= CONTACT_NANOS)
                && !liveness.silentWithin(LOST_NANOS, now);
    }

    /**
     * Answers an ask with the decision, or with an answer without one after {@link #ANSWER_MILLIS}, for an item of a
     * job after {@link #BATCH_ANSWER_MILLIS}.
     */
    void ask(Ask ask, Consumer<PermitAnswer> answer) {
        updateKnown(time.nanos());
        allocation.update(time.nanos());
        Optional<PlacementDecision> decision = dispatcher.ask(ask, time.nanos());
        if (decision.isPresent()) {
            answer.accept(toMessage(ask, decision.get()));
            return;
        }
        scheduleCheck();
        String key = DispatchCodec.run(ask.holder(), ask.permit());
        waiting.put(key, answer);
        loop.schedule(
                () -> {
                    if (waiting.remove(key, answer)) {
                        answer.accept(PermitAnswer.getDefaultInstance());
                    }
                },
                ask.batch() ? BATCH_ANSWER_MILLIS : ANSWER_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Frees the places of holders that no longer run, and refuses asks that have waited too long.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public void tick(long now) {
        for (String holder : dispatcher.holders()) {
            if (!liveness.runs(holder, now)) {
                dispatcher.forget(holder, now);
            }
        }
        contacts.keySet().removeIf(holder -> !liveness.runs(holder, now));
        dispatcher.tick(now);
        scheduleCheck();
    }

    /** Schedules the next check of the queued asks, if there are any. */
    private void scheduleCheck() {
        if (!checkScheduled && dispatcher.hasWaiting()) {
            checkScheduled = true;
            loop.schedule(
                    () -> {
                        checkScheduled = false;
                        updateKnown(time.nanos());
                        dispatcher.tick(time.nanos());
                        scheduleCheck();
                    },
                    CHECK_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void decided(Ask ask, PlacementDecision decision) {
        Consumer<PermitAnswer> answer = waiting.remove(DispatchCodec.run(ask.holder(), ask.permit()));
        if (answer != null) {
            answer.accept(toMessage(ask, decision));
        }
    }

    /** {@inheritDoc} */
    @Override
    public void recall(String holder, long permit) {
        if (holder.equals(liveness.self().id().toString())) {
            loop.execute(() -> localRecallHandler.accept(permit));
            return;
        }
        liveness.running(holder, time.nanos())
                .ifPresent(instance -> link.call(
                                instance.peer(),
                                instance.id().incarnation(),
                                Channel.RECALL,
                                PermitRecall.newBuilder()
                                        .addPermits(permit)
                                        .build()
                                        .toByteArray(),
                                RECALL_TIMEOUT)
                        .subscribe());
    }

    /** {@inheritDoc} */
    @Override
    public void quarantineChanged(QuarantineEntry entry) {
        quarantineHandler.accept(entry);
    }

    /** {@inheritDoc} */
    @Override
    public void trial(Trial trial) {
        trialHandler.accept(trial);
    }

    /** {@inheritDoc} */
    @Override
    public void isolationChanged(String service, IsolationStep step) {
        switch (step) {
            case IsolationStep.Wait wait -> {}
            case IsolationStep.Run run -> {}
            case IsolationStep.Reserve reserve ->
                record(GatewayEvent.TARGET_RESERVED, "service", service, "target", reserve.target());
            case IsolationStep.Release release ->
                record(
                        GatewayEvent.TARGET_RESERVATION_ENDED,
                        "service",
                        service,
                        "target",
                        release.target(),
                        "reason",
                        release.reason());
        }
    }

    /** {@inheritDoc} */
    @Override
    public void isolatedRunEnded(String service, String run, IsolatedRuns.Verdict verdict) {
        record(
                GatewayEvent.ISOLATED_RUN_ENDED,
                "service",
                service,
                "target",
                verdict.target(),
                "run",
                run,
                "end",
                verdict.end(),
                "alone",
                verdict.single(),
                "confirmed",
                verdict.confirmed(),
                "parts",
                String.join(",", verdict.marks()));
    }

    private void record(GatewayEvent event, Object... fields) {
        log.ifPresent(events -> events.record(event, fields));
    }

    /** Handles a message of a client on another instance. */
    private Mono<Either<Failure, byte[]>> handle(InstanceId from, byte[] request) {
        PermitCall call;
        try {
            call = PermitCall.parseFrom(request);
        } catch (InvalidProtocolBufferException exception) {
            return Mono.just(Either.left(Failure.notRun(
                    Failure.Kind.INVALID, "dispatch.read", from.toString(), String.valueOf(exception.getMessage()))));
        }
        return Mono.create(sink -> loop.execute(() -> handle(from, call, sink)));
    }

    /** Handles a parsed message on the event loop. */
    private void handle(InstanceId from, PermitCall call, MonoSink<Either<Failure, byte[]>> sink) {
        long now = time.nanos();
        String holder = from.toString();
        allocation.borrow(from, call, now);
        call.getLeavingList().forEach(leavingHandler);
        call.getLimitsList().forEach(limit -> dispatcher.limits().report(DispatchCodec.fromMessage(limit, now), now));
        Contact contact = contacts.computeIfAbsent(holder, name -> new Contact(now));
        contact.calledAt = now;
        if (call.getResync()) {
            contact.reportedAt = now;
            dispatcher.resync(
                    holder,
                    call.getHeldList().stream().map(DispatchCodec::fromMessage).toList(),
                    now);
            call.getCrashesList()
                    .forEach(report -> dispatcher.crashed(DispatchCodec.fromMessage(holder, report, now), now));
        } else if (!dispatcher.hasReported(holder)) {
            answer(PermitAnswer.newBuilder().setKind(PermitAnswer.Kind.RESYNC).build(), sink);
            return;
        }
        call.getReturnsList().forEach(entry -> {
            PlaceEnd end = DispatchCodec.fromMessage(entry, now);
            dispatcher.release(holder, entry.getPermit(), end.outcome(), end.answer(), now);
        });
        if (call.hasAsk()) {
            ask(DispatchCodec.fromMessage(holder, call.getAsk()), answer -> answer(answer, sink));
        } else {
            answer(PermitAnswer.getDefaultInstance(), sink);
        }
    }

    /** Answers a message of a client on another instance. */
    private void answer(PermitAnswer answer, MonoSink<Either<Failure, byte[]>> sink) {
        long now = time.nanos();
        allocation.update(now);
        sink.success(Either.right(allocation.withStamp(answer, now).toByteArray()));
    }

    /** Converts a decision, and adds the headroom and the request limit of the target for a later dispatcher. */
    private PermitAnswer toMessage(Ask ask, PlacementDecision decision) {
        PermitAnswer answer = DispatchCodec.toMessage(decision, dispatcher.headroom(ask.service()));
        if (decision instanceof PlacementDecision.Granted granted) {
            return dispatcher
                    .limits()
                    .find(ask.service(), granted.target())
                    .map(limit -> answer.toBuilder()
                            .setLimit(DispatchCodec.toMessage(limit, time.nanos()))
                            .build())
                    .orElse(answer);
        }
        return answer;
    }

    /** The times at which an instance called this one. */
    private static final class Contact {

        /** The monotonic time in nanoseconds of its last report of all places in use. */
        private long reportedAt;

        /** The monotonic time in nanoseconds of its last message. */
        private long calledAt;

        /** Creates the contact of an instance that has never reported. */
        Contact(long now) {
            reportedAt = now - NEVER_NANOS;
            calledAt = now;
        }
    }
}
