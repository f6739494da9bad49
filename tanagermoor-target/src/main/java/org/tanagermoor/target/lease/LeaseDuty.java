package org.tanagermoor.target.lease;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.tanagermoor.kernel.duty.Duty;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.target.PermitBook;
import org.tanagermoor.policy.target.PermitExchange;
import org.tanagermoor.policy.target.PermitGrant;
import org.tanagermoor.policy.target.PermitSteward;
import org.tanagermoor.policy.target.Routing;
import org.tanagermoor.policy.target.TargetSubset;
import org.tanagermoor.policy.target.Ticket;
import org.tanagermoor.target.TargetEvent;
import org.tanagermoor.wire.link.PeerLink;

/**
 * The single-threaded duty that leases permits of targets to the requests of this instance, and lends permits to other
 * instances where this instance is the steward of a target.
 */
final class LeaseDuty implements Duty.Work<LeaseMessage> {

    /** The interval between two reports of load of a target, in nanoseconds. */
    private static final long LOAD_POLL_INTERVAL_NANOS = 1_000_000_000;

    /** The step that is named in the failures. */
    private static final String STEP = "target.lease";

    private final Membership membership;

    private final EventLog events;

    /** The permits of this instance and the requests that wait for them. */
    private final PermitBook<PendingLease> book;

    /** Reports the demand of this instance to the stewards and applies their grants. */
    private final PermitExchange exchange;

    /** Lends the permits of the targets of which this instance is the steward. */
    private final PermitSteward steward;

    private final LeasePeers peers;

    private final LoadPoller poller;

    /** The source of the current time, read as late as possible before an action. */
    private final TimeSource time;

    private final InstanceId self;

    /** The configuration that was adopted last. */
    private Configuration configuration = Configuration.EMPTY;

    /** The monotonic time in nanoseconds at which load is polled next. */
    private long nextPollAt;

    /** The batch permits in use by target, oldest first. */
    private final Map<TargetId, Deque<LocalLease>> batchLeases = new HashMap<>();

    /** The source of the numbers that order the targets of a request. */
    private final SplittableRandom random;

    /** The number of requests for permits so far; used only by round-robin routing. */
    private long requestCount;

    /** Whether each draw is the request count, as round-robin routing needs, instead of a random number. */
    private final boolean numbersRequests;

    /** Called when a permit is released. */
    private final BiConsumer<LocalLease, TargetLease.Result> releaseHandler;

    /**
     * Creates a duty without permits.
     *
     * @param routing The routing that replaces the one of the service, or empty to keep that.
     * @param releaseHandler Called when a permit is released.
     * @param inbox Queues a message for this duty.
     */
    LeaseDuty(
            Context context,
            Optional<Routing> routing,
            BiConsumer<LocalLease, TargetLease.Result> releaseHandler,
            Consumer<LeaseMessage> inbox) {
        membership = context.service(Membership.class);
        events = context.events();
        time = context.time();
        self = membership.self().id();
        this.releaseHandler = releaseHandler;
        peers = new LeasePeers(context.service(PeerLink.class), events, inbox);
        poller = new LoadPoller(events, time, inbox);
        steward = PermitSteward.of(self);
        TargetSubset subset = TargetSubset.of(membership.self(), steward::steward);
        book = PermitBook.of(membership.self().domain(), routing, subset);
        exchange = PermitExchange.of(book);
        numbersRequests = routing.filter(Routing.RoundRobin.class::isInstance).isPresent();
        random = new SplittableRandom(self.incarnation());
        nextPollAt = time.nanos();
    }

    /** {@inheritDoc} */
    @Override
    public void handle(LeaseMessage message, long now) {
        switch (message) {
            case LeaseMessage.Acquire acquire -> acquire(acquire.pending(), now);
            case LeaseMessage.Cancel cancel -> cancel(cancel.pending());
            case LeaseMessage.Release release -> release(release.lease(), release.result(), now);
            case LeaseMessage.Observe observe -> observe(observe, now);
            case LeaseMessage.Adopt adopt -> adopt(adopt.configuration(), now);
            case LeaseMessage.Ask ask -> answer(ask);
            case LeaseMessage.Answer answer ->
                exchange.answer(answer.steward(), answer.sequence(), answer.grants(), now);
            case LeaseMessage.Recall recall -> exchange.recall(recall.steward(), recall.grants());
            case LeaseMessage.Loaded loaded -> load(loaded);
            case LeaseMessage.Withhold withhold -> steward.withhold(withhold.target(), withhold.value(), now);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void handled(long now) {
        dispatch(now);
    }

    /** {@inheritDoc} */
    @Override
    public void tick(long now) {
        for (Ticket<PendingLease> ticket : book.expire(now)) {
            events.record(TargetEvent.OVERLOADED, "service", ticket.demand().service());
            ticket.waiter().fail(failure(Failure.Kind.OVERLOADED, "no permit became available within the deadline"));
        }
        if (serves()) {
            stewardTick(now);
        }
        dispatch(now);
    }

    /** Does the periodic work of a steward: notes whether the view is accepted, recalls permits, and polls load. */
    private void stewardTick(long now) {
        if (membership.viewAccepted(configuration.view(), now)) {
            steward.accept(now);
        }
        steward.recalls(now).forEach(this::recall);
        if (now - nextPollAt >= 0) {
            nextPollAt = now + LOAD_POLL_INTERVAL_NANOS;
            steward.targets().forEach(poller::poll);
        }
    }

    /**
     * Recalls permits as the steward of their targets.
     *
     * @param id The instance that holds the permits.
     * @param grants The lowered grants.
     */
    private void recall(InstanceId id, List<PermitGrant> grants) {
        events.record(TargetEvent.PERMITS_RECALLED, "instance", id, "targets", grants.size());
        if (id.equals(self)) {
            exchange.recall(self, grants);
        } else {
            configuration.view().member(id).ifPresent(member -> peers.recall(member, grants));
        }
    }

    private void adopt(Configuration value, long now) {
        configuration = value;
        steward.adopt(value);
        book.adopt(value, now);
        exchange.adopt(value);
    }

    /** Answers, as a steward, an instance that reports its demand. */
    private void answer(LeaseMessage.Ask message) {
        if (!serves()) {
            message.sink().success(Either.left(failure(Failure.Kind.NO_STANDING, "this instance may be behind")));
            return;
        }
        long sequence = message.ask().sequence();
        List<PermitGrant> grants =
                steward.answer(message.from(), sequence, message.ask().reports(), time.nanos());
        message.sink().success(Either.right(TargetCodec.write(sequence, grants)));
    }

    /** Sends the reports that are due to the stewards. A report to this instance is handled without a message. */
    private void ask() {
        exchange.dueReports(time.nanos()).forEach((id, ask) -> {
            if (id.equals(self)) {
                long now = time.nanos();
                List<PermitGrant> grants =
                        serves() ? steward.answer(self, ask.sequence(), ask.reports(), now) : List.of();
                exchange.answer(self, ask.sequence(), grants, now);
            } else {
                configuration.view().member(id).ifPresent(member -> peers.ask(member, ask));
            }
        });
    }

    /** Passes a report of load to the steward, and logs if the report shows that the target is cold. */
    private void load(LeaseMessage.Loaded loaded) {
        if (steward.recordLoad(loaded.target(), loaded.load(), loaded.sampledAt(), time.nanos())) {
            events.record(TargetEvent.COLD, "target", loaded.target());
        }
    }

    /** Returns whether this instance has standing now, that is, whether its configuration is known to be in force. */
    private boolean serves() {
        return membership.standing(time.nanos()).serves();
    }

    /** Enqueues a request for a permit. Requests that this one displaces from a full queue fail. */
    private void acquire(PendingLease pending, long now) {
        LeaseRequest request = pending.request();
        if (!membership.standing(now).serves()) {
            pending.fail(failure(Failure.Kind.NO_STANDING, "this instance may be behind and takes no new work"));
            return;
        }
        boolean usable = book.usable(request.service()).stream()
                .anyMatch(target -> !request.excluded().contains(target.id()));
        if (!usable) {
            pending.fail(failure(Failure.Kind.UNAVAILABLE, "no target of the service may be used"));
            return;
        }
        long draw = numbersRequests ? requestCount++ : random.nextLong();
        Ticket<PendingLease> ticket = book.ticket(request, pending, draw, now);
        pending.ticket(ticket);
        for (Ticket<PendingLease> displaced : book.enqueue(ticket)) {
            displaced.waiter().fail(failure(Failure.Kind.OVERLOADED, "too many requests wait for the service"));
        }
    }

    /** Removes a request that was cancelled. */
    private void cancel(PendingLease pending) {
        Ticket<PendingLease> ticket = pending.ticket();
        if (ticket != null) {
            book.cancel(ticket);
        }
    }

    /** Takes back a permit that was released. */
    private void release(LocalLease lease, TargetLease.Result result, long now) {
        TargetId target = lease.target().id();
        boolean forBatch = lease.priority() == Priority.BATCH;
        if (forBatch) {
            batchLeases.getOrDefault(target, new ArrayDeque<>()).remove(lease);
        }
        book.end(target, forBatch);
        if (result == TargetLease.Result.RESET) {
            events.record(TargetEvent.RESET, "target", target);
            book.recordReset(target, now);
        }
    }

    /** Records what a target reported about itself with an answer. */
    private void observe(LeaseMessage.Observe observe, long now) {
        TargetId target = observe.lease().target().id();
        if (book.recordStartMark(target, observe.startMark(), now)) {
            events.record(TargetEvent.RESTARTED, "target", target);
        }
        if (observe.firstTokenNanos() >= 0) {
            book.recordFirstToken(target, observe.firstTokenNanos() / PermitBook.NANOS_PER_MILLI);
        }
    }

    /**
     * Starts the requests for which there is a permit, before and after the exchange with the stewards, and recalls
     * batch permits that online requests need.
     */
    private void dispatch(long now) {
        if (serves()) {
            start(now);
            ask();
            start(time.nanos());
        }
        book.recalls().forEach(this::recall);
    }

    /** Starts the requests for which there is a permit. */
    private void start(long now) {
        book.dispatch(now).forEach(this::start);
    }

    /** Gives a permit to a request. If the request was cancelled meanwhile, the permit is released at once. */
    private void start(PermitBook.Start<PendingLease> start) {
        PendingLease pending = start.ticket().waiter();
        LocalLease lease = new LocalLease(start.target(), pending.request().priority(), releaseHandler);
        if (lease.priority() == Priority.BATCH) {
            batchLeases
                    .computeIfAbsent(lease.target().id(), id -> new ArrayDeque<>())
                    .add(lease);
        }
        if (pending.cancelled()) {
            lease.release(TargetLease.Result.CANCELLED);
        } else {
            pending.succeed(lease);
        }
    }

    /**
     * Recalls the most recent batch permits of a target.
     *
     * @param excess The number of permits to recall.
     */
    private void recall(TargetId target, int excess) {
        Deque<LocalLease> leases = batchLeases.getOrDefault(target, new ArrayDeque<>());
        leases.stream().skip(Math.max(0, leases.size() - excess)).forEach(LocalLease::recall);
    }

    /**
     * Creates a failure of a request for a permit.
     *
     * @param detail A description for operators.
     */
    private static Failure failure(Failure.Kind kind, String detail) {
        return Failure.notRun(kind, STEP, Failure.LOCAL, detail);
    }
}
