package org.tanagermoor.gateway.dispatch;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.member.Instance;
import org.tanagermoor.gateway.member.Liveness;
import org.tanagermoor.gateway.proto.PermitAnswer;
import org.tanagermoor.gateway.proto.PermitCall;
import org.tanagermoor.gateway.proto.PermitRecall;
import org.tanagermoor.gateway.proto.PermitReturn;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.wire.link.Channel;
import org.tanagermoor.wire.link.PeerLink;
import reactor.core.publisher.Mono;

/**
 * Asks the dispatcher of the fleet for places. One that does not answer is passed over at once for the instance that
 * ranks next; items of jobs wait a little after each change. Confined to the event loop.
 */
public final class DispatchClient {

    /** The longest time for an answer; the dispatcher answers within 200 ms even if it has nothing to say. */
    private static final Duration TIMEOUT = Duration.ofMillis(500);

    /** The same for items of jobs, of which the dispatcher answers within a second. */
    private static final Duration BATCH_TIMEOUT = Duration.ofMillis(1_500);

    /**
     * How many equal parts of the rate of a team an instance admits while it decides for itself: callers of a team do
     * not spread evenly, and such times are short.
     */
    private static final double LOCAL_SKEW = 2;

    /** The part that it admits at its start, while it does not know how many others start with it. */
    private static final double START_PART = 0.125;

    /** The longest time for which a returned permit waits for a message to go with, in milliseconds. */
    private static final long RETURN_MILLIS = 4;

    /** The time after which an item of a job asks again while there is no dispatcher, in milliseconds. */
    private static final long BATCH_RETRY_MILLIS = 300;

    /**
     * The time after a change of the dispatcher before items of jobs ask at an instance that has just started, in
     * nanoseconds: instances that start together each take themselves for the dispatcher.
     */
    private static final long BATCH_SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    /** The time after the start for which an instance that hears of no other does not begin items, in nanoseconds. */
    private static final long ALONE_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** The event loop. */
    private final EventLoop loop;

    /** The link to other instances. */
    private final PeerLink link;

    /** Which instances run. */
    private final Liveness liveness;

    /** The decisions of this instance. */
    private final DispatchServer own;

    /** The rates of the teams, of which this instance admits a part while it does not dispatch. */
    private final TeamRates rates;

    /** The log. */
    private final EventLog events;

    /** The source of the present time. */
    private final TimeSource time;

    /** The identity of this instance. */
    private final String self;

    /** The permits in use. */
    private final Map<Long, Use> uses = new HashMap<>();

    /** The returned permits that the dispatcher was not told of. */
    private final Map<Long, PlaceOutcome> returns = new HashMap<>();

    /** The part of the places that online requests leave, by service, as a dispatcher has last told it. */
    private final Map<String, Double> leftParts = new HashMap<>();

    /** The dispatcher that was last asked, or {@code null}. */
    @Nullable
    private Instance last;

    /** The monotonic time of the start in nanoseconds. */
    private final long startedAt;

    /** The monotonic time in nanoseconds of the last change of the dispatcher. */
    private long changedAt;

    /** Whether a message with returned permits is scheduled. */
    private boolean returning;

    /** Whether the dispatcher may know of places that are not in use any more. */
    private boolean reported;

    /** The number of the last permit. */
    private long lastPermit;

    /** Creates a client. */
    private DispatchClient(
            EventLoop loop,
            PeerLink link,
            Liveness liveness,
            DispatchServer own,
            TeamRates rates,
            EventLog events,
            TimeSource time) {
        this.loop = loop;
        this.link = link;
        this.liveness = liveness;
        this.own = own;
        this.rates = rates;
        this.events = events;
        this.time = time;
        self = liveness.self().id().toString();
        startedAt = time.nanos();
        changedAt = startedAt;
    }

    /** Returns a client. */
    public static DispatchClient of(
            EventLoop loop,
            PeerLink link,
            Liveness liveness,
            DispatchServer own,
            TeamRates rates,
            EventLog events,
            TimeSource time) {
        return new DispatchClient(loop, link, liveness, own, rates, events, time);
    }

    /** Sets who takes recalls of permits by the dispatcher of the fleet. */
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

    /** Returns the identity of this instance, under which it holds permits. */
    public String self() {
        return self;
    }

    /** Returns a number for a permit. */
    public long nextPermit() {
        return ++lastPermit;
    }

    /**
     * Asks for a place. The answer comes once, unless the ask is cancelled.
     *
     * @param ask The request.
     * @param answer Takes the verdict.
     */
    public void ask(Ask ask, Consumer<PlacementDecision> answer) {
        Use use = new Use(ask, answer, time.nanos());
        uses.put(ask.permit(), use);
        request(use);
    }

    /**
     * Gives a permit back, or cancels an ask.
     *
     * @param permit The number of the permit.
     * @param outcome How its use ended.
     */
    public void release(long permit, PlaceOutcome outcome) {
        Use use = uses.remove(permit);
        if (use == null) {
            return;
        }
        if (use.local) {
            own.dispatcher().release(self, permit, outcome, time.nanos());
        } else {
            returns.put(permit, outcome);
            scheduleReturns();
        }
    }

    /**
     * Notices a change of the dispatcher.
     *
     * @param now The present monotonic time in nanoseconds.
     */
    public void tick(long now) {
        Instance dispatcher = liveness.dispatcher(now);
        boolean dispatching = dispatcher.id().equals(liveness.self().id());
        rates.part(ratePart(dispatching, now), now);
        if (last != null && dispatcher.id().equals(last.id())) {
            return;
        }
        events.record(GatewayEvent.DISPATCHER_CHANGED, "dispatcher", dispatcher.id());
        last = dispatcher;
        changedAt = now;
        returns.clear();
        if (dispatching) {
            own.takeOver(leftParts, now);
            List<Use> asking = uses.values().stream()
                    .filter(use -> !use.local && use.target.isEmpty())
                    .toList();
            uses.values().forEach(use -> use.local = true);
            own.dispatcher().resync(self, held(), now);
            asking.forEach(use -> request(use, now));
        } else {
            own.end();
            reported = true;
            reportAll();
        }
    }

    /** Returns the part of the rate of each team that this instance may admit. */
    private double ratePart(boolean dispatching, long now) {
        if (!dispatching) {
            return Math.min(1, LOCAL_SKEW / liveness.known(now));
        }
        return starting(now) ? START_PART : 1;
    }

    /** Returns whether this instance has heard of no other since its start, and may still do so. */
    private boolean starting(long now) {
        return now - startedAt < ALONE_NANOS && liveness.running(now).isEmpty();
    }

    /** Tells the dispatcher of the fleet all places in use, so that a lost message takes none for good. */
    public void reportAll() {
        long now = time.nanos();
        Instance dispatcher = liveness.dispatcher(now);
        boolean dispatching = dispatcher.id().equals(liveness.self().id());
        if (dispatching) {
            own.dispatcher().resync(self, held(), now);
        } else if (!uses.isEmpty() || reported) {
            reported = !uses.isEmpty();
            call(dispatcher, PermitCall.newBuilder(), true, result -> {
                if (result.isLeft()) {
                    silent(dispatcher, result.getLeft());
                }
            });
        }
    }

    /** Sends or decides an ask, unless that was done at a change of the dispatcher which it notices. */
    private void request(Use use) {
        long now = time.nanos();
        tick(now);
        if (uses.get(use.ask.permit()) == use && use.target.isEmpty()) {
            request(use, now);
        }
    }

    /** Sends or decides an ask. */
    private void request(Use use, long now) {
        Instance dispatcher = liveness.dispatcher(now);
        if (use.ask.batch() && !settled(now)) {
            finish(use, new PlacementDecision.Refused(PlacementDecision.Reason.OVERLOADED, BATCH_RETRY_MILLIS));
        } else if (dispatcher.id().equals(liveness.self().id())) {
            decideHere(use);
        } else {
            send(dispatcher, use, false);
        }
    }

    /** Returns whether it is clear who dispatches: not while instances that start together find each other. */
    private boolean settled(long now) {
        return now - startedAt >= ALONE_NANOS || (now - changedAt >= BATCH_SETTLE_NANOS && !starting(now));
    }

    /** Asks the dispatcher of this instance. */
    private void decideHere(Use use) {
        use.local = true;
        own.ask(use.askNow(time.nanos()), answer -> answered(use, answer));
    }

    /** Asks the dispatcher of the fleet. */
    private void send(Instance dispatcher, Use use, boolean resync) {
        use.local = false;
        PermitCall.Builder call = PermitCall.newBuilder().setAsk(DispatchCodec.toMessage(use.askNow(time.nanos())));
        call(dispatcher, call, resync, result -> {
            if (uses.get(use.ask.permit()) != use || use.local) {
                return;
            }
            if (result.isLeft()) {
                silent(dispatcher, result.getLeft());
                returns.put(use.ask.permit(), PlaceOutcome.UNUSED);
                request(use);
            } else if (result.get().getKind() == PermitAnswer.Kind.RESYNC) {
                send(dispatcher, use, true);
            } else {
                answered(use, result.get());
            }
        });
    }

    /** Sends a message to the dispatcher, with the permits that are returned. */
    private void call(
            Instance dispatcher,
            PermitCall.Builder call,
            boolean resync,
            Consumer<Either<Failure, PermitAnswer>> consumer) {
        Map<Long, PlaceOutcome> sent = new HashMap<>(returns);
        returns.clear();
        sent.forEach((permit, outcome) -> call.addReturns(
                PermitReturn.newBuilder().setPermit(permit).setOutcome(DispatchCodec.toMessage(outcome))));
        if (resync) {
            call.setResync(true);
            held().forEach(place -> call.addHeld(DispatchCodec.toMessage(place)));
            uses.values().stream().filter(use -> !use.target.isEmpty()).forEach(use -> use.local = false);
            own.dispatcher().forget(self, time.nanos());
        }
        link.call(
                        dispatcher.peer(),
                        dispatcher.id().incarnation(),
                        Channel.DISPATCH,
                        call.build().toByteArray(),
                        call.getAsk().getBatch() ? BATCH_TIMEOUT : TIMEOUT)
                .map(DispatchClient::read)
                .subscribe(result -> loop.execute(() -> {
                    if (result.isLeft() && last != null && last.id().equals(dispatcher.id())) {
                        sent.forEach(returns::putIfAbsent);
                    }
                    consumer.accept(result);
                }));
    }

    /** Takes an answer. One to an ask that was decided already, by another dispatcher, changes nothing. */
    private void answered(Use use, PermitAnswer answer) {
        if (uses.get(use.ask.permit()) != use || !use.target.isEmpty()) {
            return;
        }
        DispatchCodec.headroom(answer).ifPresent(part -> leftParts.put(use.ask.service(), part));
        switch (answer.getKind()) {
            case GRANTED -> {
                use.target = answer.getTarget();
                use.grantedAt = time.nanos();
                use.answer.accept(new PlacementDecision.Granted(answer.getTarget()));
            }
            case RATE_LIMITED, OVERLOADED, NO_TARGET -> finish(use, DispatchCodec.refusal(answer));
            default -> request(use);
        }
    }

    /** Ends an ask by a refusal. */
    private void finish(Use use, PlacementDecision.Refused refused) {
        uses.remove(use.ask.permit());
        use.answer.accept(refused);
    }

    /** Notes that the dispatcher does not answer, and turns to the next one. */
    private void silent(Instance dispatcher, Failure failure) {
        long now = time.nanos();
        if (last != null && last.id().equals(dispatcher.id())) {
            events.record(GatewayEvent.DISPATCHER_SILENT, "dispatcher", dispatcher.id(), "failure", failure);
            liveness.suspect(dispatcher.id(), now);
            tick(now);
        }
    }

    /** Schedules a message with returned permits. */
    private void scheduleReturns() {
        if (!returning) {
            returning = true;
            loop.schedule(this::sendReturns, RETURN_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Sends the returned permits that no ask took along. */
    private void sendReturns() {
        returning = false;
        long now = time.nanos();
        if (returns.isEmpty()) {
            return;
        }
        Instance dispatcher = liveness.dispatcher(now);
        if (dispatcher.id().equals(liveness.self().id())) {
            returns.clear();
        } else {
            call(dispatcher, PermitCall.newBuilder(), false, result -> {
                if (result.isLeft()) {
                    silent(dispatcher, result.getLeft());
                    scheduleReturns();
                }
            });
        }
    }

    /** Returns the permits in use. */
    private List<Dispatcher.OccupiedPlace> held() {
        List<Dispatcher.OccupiedPlace> result = new ArrayList<>();
        uses.values().forEach(use -> {
            if (!use.target.isEmpty()) {
                result.add(use.place(time.nanos()));
            }
        });
        return result;
    }

    /** Reads an answer. */
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

    /** An ask, and the place that it got. */
    private static final class Use {

        /** The request. */
        private final Ask ask;

        /** Takes the verdict. */
        private final Consumer<PlacementDecision> answer;

        /** The monotonic time of the ask in nanoseconds. */
        private final long askedAt;

        /** The monotonic time of the grant in nanoseconds, if there is a target. */
        private long grantedAt;

        /** The identity of the target; empty while there is none. */
        private String target = "";

        /** Whether this instance decided. */
        private boolean local;

        /** Creates an ask without a place. */
        Use(Ask ask, Consumer<PlacementDecision> answer, long askedAt) {
            this.ask = ask;
            this.answer = answer;
            this.askedAt = askedAt;
        }

        /** Returns the ask as it is after the time that it has waited. */
        private Ask askNow(long now) {
            return ask.after(now - askedAt);
        }

        /** Returns the place in use. */
        private Dispatcher.OccupiedPlace place(long now) {
            return new Dispatcher.OccupiedPlace(
                    ask.permit(),
                    ask.service(),
                    target,
                    ask.batch(),
                    ask.onTimeNanos() - (grantedAt - askedAt),
                    ask.work().after(now - grantedAt));
        }
    }
}
