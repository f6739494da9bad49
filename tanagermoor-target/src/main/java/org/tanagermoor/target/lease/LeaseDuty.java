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

/** The duty that leases targets to the requests of this instance. */
final class LeaseDuty implements Duty.Work<LeaseMessage> {

    /** The time between two reports of load of a target, in nanoseconds. */
    private static final long POLL_NANOS = 1_000_000_000;

    /** The step of waiting for a permit. */
    private static final String STEP = "target.lease";

    /** The membership. */
    private final Membership membership;

    /** The log of events. */
    private final EventLog events;

    /** The permits and the requests that wait. */
    private final PermitBook<PendingLease> book;

    /** The exchange with the stewards. */
    private final PermitExchange exchange;

    /** The steward's side. */
    private final PermitSteward steward;

    /** The messages to other instances. */
    private final LeasePeers peers;

    /** Asks targets for their load. */
    private final LoadPoller poller;

    /** The source of the present time, read as late before an action as can be. */
    private final TimeSource time;

    /** The identity of this instance. */
    private final InstanceId self;

    /** The adopted configuration. */
    private Configuration configuration = Configuration.EMPTY;

    /** The monotonic time of the next reports of load in nanoseconds. */
    private long pollAt;

    /** The batch permits that are in use, oldest first, by target. */
    private final Map<TargetId, Deque<LocalLease>> batch = new HashMap<>();

    /** Draws the numbers that order targets. */
    private final SplittableRandom random;

    /** Counts the requests. */
    private long count;

    /** Whether each draw is the count, as round-robin needs it. */
    private final boolean counted;

    /** Takes permits back. */
    private final BiConsumer<LocalLease, TargetLease.Result> owner;

    /**
     * Creates a duty.
     *
     * @param context The context.
     * @param routing The routing in place of that which fits the service, if one was chosen.
     * @param owner Takes permits back.
     * @param own Takes messages to this duty.
     */
    LeaseDuty(
            Context context,
            Optional<Routing> routing,
            BiConsumer<LocalLease, TargetLease.Result> owner,
            Consumer<LeaseMessage> own) {
        membership = context.service(Membership.class);
        events = context.events();
        time = context.time();
        self = membership.self().id();
        this.owner = owner;
        peers = new LeasePeers(context.service(PeerLink.class), events, own);
        poller = new LoadPoller(events, time, own);
        steward = PermitSteward.of(self);
        TargetSubset subset = TargetSubset.of(membership.self(), steward::steward);
        book = PermitBook.of(membership.self().domain(), routing, subset);
        exchange = PermitExchange.of(book);
        counted = routing.filter(Routing.RoundRobin.class::isInstance).isPresent();
        random = new SplittableRandom(self.incarnation());
        pollAt = time.nanos();
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
            ticket.waiter().fail(failure(Failure.Kind.OVERLOADED, "no permit can be had within the deadline"));
        }
        if (serves()) {
            lend(now);
        }
        dispatch(now);
    }

    /**
     * Does what is due as the steward of targets.
     *
     * @param now The present monotonic time in nanoseconds.
     */
    private void lend(long now) {
        if (membership.viewAccepted(configuration.view(), now)) {
            steward.accept(now);
        }
        steward.recalls(now).forEach(this::recall);
        if (now - pollAt >= 0) {
            pollAt = now + POLL_NANOS;
            steward.targets().forEach(poller::poll);
        }
    }

    /**
     * Recalls permits as the steward of their targets.
     *
     * @param id The instance that holds them.
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

    /**
     * Adopts a configuration.
     *
     * @param value The configuration.
     * @param now The present monotonic time in nanoseconds.
     */
    private void adopt(Configuration value, long now) {
        configuration = value;
        steward.adopt(value);
        book.adopt(value, now);
        exchange.adopt(value);
    }

    /**
     * Answers an instance as a steward.
     *
     * @param message The message.
     */
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

    /** Reports to the stewards. */
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

    /**
     * Notes a report of load.
     *
     * @param loaded The report.
     */
    private void load(LeaseMessage.Loaded loaded) {
        if (steward.recordLoad(loaded.target(), loaded.load(), loaded.sampledAt(), time.nanos())) {
            events.record(TargetEvent.COLD, "target", loaded.target());
        }
    }

    /**
     * Returns whether this instance has standing at this moment.
     *
     * @return Whether this instance has standing.
     */
    private boolean serves() {
        return membership.standing(time.nanos()).serves();
    }

    /**
     * Lets a request wait for a permit.
     *
     * @param pending The request.
     * @param now The present monotonic time in nanoseconds.
     */
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
        long draw = counted ? count++ : random.nextLong();
        Ticket<PendingLease> ticket = book.ticket(request, pending, draw, now);
        pending.ticket(ticket);
        for (Ticket<PendingLease> displaced : book.enqueue(ticket)) {
            displaced.waiter().fail(failure(Failure.Kind.OVERLOADED, "too many requests wait for the service"));
        }
    }

    /**
     * Removes a request that no longer waits.
     *
     * @param pending The request.
     */
    private void cancel(PendingLease pending) {
        Ticket<PendingLease> ticket = pending.ticket();
        if (ticket != null) {
            book.cancel(ticket);
        }
    }

    /**
     * Takes a permit back.
     *
     * @param lease The permit.
     * @param result How the request ended.
     * @param now The present monotonic time in nanoseconds.
     */
    private void release(LocalLease lease, TargetLease.Result result, long now) {
        TargetId target = lease.target().id();
        boolean forBatch = lease.priority() == Priority.BATCH;
        if (forBatch) {
            batch.getOrDefault(target, new ArrayDeque<>()).remove(lease);
        }
        book.end(target, forBatch);
        if (result == TargetLease.Result.RESET) {
            events.record(TargetEvent.RESET, "target", target);
            book.recordReset(target, now);
        }
    }

    /**
     * Notes what a target said about itself.
     *
     * @param observe What it said.
     * @param now The present monotonic time in nanoseconds.
     */
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
     * Starts the requests for which there is a permit, and recalls batch permits that online requests need.
     *
     * @param now The present monotonic time in nanoseconds.
     */
    private void dispatch(long now) {
        if (serves()) {
            start(now);
            ask();
            start(time.nanos());
        }
        book.recalls().forEach(this::recall);
    }

    /**
     * Starts the requests for which there is a permit.
     *
     * @param now The present monotonic time in nanoseconds.
     */
    private void start(long now) {
        book.dispatch(now).forEach(this::start);
    }

    /**
     * Hands out a permit.
     *
     * @param start The request and its target.
     */
    private void start(PermitBook.Start<PendingLease> start) {
        PendingLease pending = start.ticket().waiter();
        LocalLease lease = new LocalLease(start.target(), pending.request().priority(), owner);
        if (lease.priority() == Priority.BATCH) {
            batch.computeIfAbsent(lease.target().id(), id -> new ArrayDeque<>()).add(lease);
        }
        if (pending.cancelled()) {
            lease.release(TargetLease.Result.CANCELLED);
        } else {
            pending.succeed(lease);
        }
    }

    /**
     * Recalls the youngest batch permits of a target.
     *
     * @param target The target.
     * @param excess The number of permits to recall.
     */
    private void recall(TargetId target, int excess) {
        Deque<LocalLease> leases = batch.getOrDefault(target, new ArrayDeque<>());
        leases.stream().skip(Math.max(0, leases.size() - excess)).forEach(LocalLease::recall);
    }

    /**
     * Returns a failure of waiting for a permit.
     *
     * @param kind The kind.
     * @param detail A sentence for people.
     * @return The failure.
     */
    private static Failure failure(Failure.Kind kind, String detail) {
        return Failure.notRun(kind, STEP, Failure.LOCAL, detail);
    }
}
