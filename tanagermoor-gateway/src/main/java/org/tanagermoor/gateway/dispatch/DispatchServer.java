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
import org.tanagermoor.gateway.member.Liveness;
import org.tanagermoor.gateway.proto.PermitAnswer;
import org.tanagermoor.gateway.proto.PermitCall;
import org.tanagermoor.gateway.proto.PermitRecall;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.wire.link.Channel;
import org.tanagermoor.wire.link.PeerLink;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** Answers asks of this and other instances with the decisions of a dispatcher. Confined to the event loop. */
public final class DispatchServer implements Dispatcher.Sink {

    /** The longest time for which an ask stays without an answer, in milliseconds; its holder then asks again. */
    private static final long HOLD_MILLIS = 200;

    /** The same for an item of a job, which is in no hurry. */
    private static final long BATCH_HOLD_MILLIS = 1_000;

    /** The interval at which requests that wait for a place are looked at, in milliseconds. */
    private static final long LOOK_MILLIS = 25;

    /**
     * The time after which the instances that did not tell their places in use are not waited for, in nanoseconds: some
     * looks of an instance at who dispatches.
     */
    private static final long REPORTED_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    /** The longest time for a message to the holder of a permit. */
    private static final java.time.Duration RECALL_TIMEOUT = java.time.Duration.ofMillis(500);

    /** The event loop. */
    private final EventLoop loop;

    /** The link to other instances. */
    private final PeerLink link;

    /** Which instances run. */
    private final Liveness liveness;

    /** The source of the present time. */
    private final TimeSource time;

    /** The decisions. */
    private final Dispatcher dispatcher;

    /** Those who wait for an answer, by holder and permit. */
    private final Map<String, Consumer<PermitAnswer>> waiting = new HashMap<>();

    /** The monotonic time in nanoseconds at which this instance began to dispatch, if it dispatches. */
    private OptionalLong begunAt = OptionalLong.empty();

    /** Whether a look at what waits is scheduled. */
    private boolean looking;

    /** Takes recalls of permits that this instance holds. */
    private Consumer<Long> localRecallHandler = permit -> {};

    /** Creates a server. */
    private DispatchServer(EventLoop loop, PeerLink link, Liveness liveness, TimeSource time, TeamRates rates) {
        this.loop = loop;
        this.link = link;
        this.liveness = liveness;
        this.time = time;
        dispatcher = Dispatcher.of(this, rates);
    }

    /** Returns a server that answers on its channel of the link. */
    public static DispatchServer of(
            EventLoop loop, PeerLink link, Liveness liveness, TimeSource time, TeamRates rates) {
        DispatchServer server = new DispatchServer(loop, link, liveness, time, rates);
        link.handle(Channel.DISPATCH, server::handle);
        return server;
    }

    /** Returns the decisions. */
    public Dispatcher dispatcher() {
        return dispatcher;
    }

    /** Sets who takes recalls of permits that this instance holds. */
    public void localRecallHandler(Consumer<Long> value) {
        localRecallHandler = value;
    }

    /**
     * Begins to dispatch, after another instance or none.
     *
     * @param leftParts The part of the places that online requests leave, by service, as it was last told.
     * @param now The present monotonic time in nanoseconds.
     */
    void takeOver(Map<String, Double> leftParts, long now) {
        begunAt = OptionalLong.of(now);
        dispatcher.takeOver(leftParts);
    }

    /** Notes that another instance dispatches. */
    void end() {
        begunAt = OptionalLong.empty();
    }

    /** Returns whether the places in use are known, by the reports of all instances or after they had time for one. */
    private boolean complete(long now) {
        return begunAt.isPresent()
                && (now - begunAt.getAsLong() >= REPORTED_NANOS
                        || liveness.running(now).stream()
                                .allMatch(instance ->
                                        dispatcher.knows(instance.id().toString())));
    }

    /** Answers an ask, at the latest after {@link #HOLD_MILLIS} with an answer that says nothing yet. */
    void ask(Ask ask, Consumer<PermitAnswer> answer) {
        dispatcher.itemsWait(!complete(time.nanos()), time.nanos());
        Optional<PlacementDecision> verdict = dispatcher.ask(ask, time.nanos());
        if (verdict.isPresent()) {
            answer.accept(toMessage(ask, verdict.get()));
            return;
        }
        lookAgain();
        String key = key(ask.holder(), ask.permit());
        waiting.put(key, answer);
        loop.schedule(
                () -> {
                    if (waiting.remove(key, answer)) {
                        answer.accept(PermitAnswer.getDefaultInstance());
                    }
                },
                ask.batch() ? BATCH_HOLD_MILLIS : HOLD_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Drops what holders that are gone have held, and what has waited in vain.
     *
     * @param now The present monotonic time in nanoseconds.
     */
    public void tick(long now) {
        for (String holder : dispatcher.holders()) {
            if (!liveness.runs(holder, now)) {
                dispatcher.forget(holder, now);
            }
        }
        dispatcher.tick(now);
        lookAgain();
    }

    /** Schedules the next look at what waits, if anything does. */
    private void lookAgain() {
        if (!looking && dispatcher.waits()) {
            looking = true;
            loop.schedule(
                    () -> {
                        looking = false;
                        dispatcher.itemsWait(!complete(time.nanos()), time.nanos());
                        dispatcher.tick(time.nanos());
                        lookAgain();
                    },
                    LOOK_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void decided(Ask ask, PlacementDecision verdict) {
        Consumer<PermitAnswer> answer = waiting.remove(key(ask.holder(), ask.permit()));
        if (answer != null) {
            answer.accept(toMessage(ask, verdict));
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

    /** Answers a message. */
    private Mono<Either<Failure, byte[]>> handle(InstanceId from, byte[] request) {
        PermitCall call;
        try {
            call = PermitCall.parseFrom(request);
        } catch (InvalidProtocolBufferException exception) {
            return Mono.just(Either.left(Failure.notRun(
                    Failure.Kind.INVALID, "dispatch.read", from.toString(), String.valueOf(exception.getMessage()))));
        }
        return Mono.create(sink -> loop.execute(() -> handle(from.toString(), call, sink)));
    }

    /** Answers a message. */
    private void handle(String holder, PermitCall call, MonoSink<Either<Failure, byte[]>> sink) {
        long now = time.nanos();
        if (call.getResync()) {
            dispatcher.resync(
                    holder,
                    call.getHeldList().stream().map(DispatchCodec::fromMessage).toList(),
                    now);
        } else if (!dispatcher.knows(holder)) {
            sink.success(Either.right(PermitAnswer.newBuilder()
                    .setKind(PermitAnswer.Kind.RESYNC)
                    .build()
                    .toByteArray()));
            return;
        }
        call.getReturnsList()
                .forEach(entry -> dispatcher.release(
                        holder, entry.getPermit(), DispatchCodec.fromMessage(entry.getOutcome()), now));
        if (call.hasAsk()) {
            ask(
                    DispatchCodec.fromMessage(holder, call.getAsk()),
                    answer -> sink.success(Either.right(answer.toByteArray())));
        } else {
            sink.success(Either.right(PermitAnswer.getDefaultInstance().toByteArray()));
        }
    }

    /** Writes a verdict, with what the next dispatcher needs to know. */
    private PermitAnswer toMessage(Ask ask, PlacementDecision verdict) {
        return DispatchCodec.toMessage(verdict, dispatcher.headroom(ask.service()));
    }

    /** Returns the key of an ask. */
    private static String key(String holder, long permit) {
        return holder + "/" + permit;
    }
}
