package org.tanagermoor.policy.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.configuration.Service;
import org.tanagermoor.policy.configuration.Target;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TargetId;

/**
 * The permits that an instance holds for its targets, and the requests that wait for one. A permit allows one request
 * to run on a target. Not thread-safe.
 *
 * @param <W> The type of the object that is notified of the outcome of a request.
 */
public final class PermitBook<W> {

    /** The number of nanoseconds in a millisecond. */
    public static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * The time that a request waits before it may also use the next target in its order of preference, in nanoseconds.
     */
    private static final long WIDEN_INTERVAL_NANOS = 10 * NANOS_PER_MILLI;

    private final FailureDomain domain;

    /** The routing of all services if one was chosen; otherwise each kind of service has its own. */
    private final Optional<Routing> routing;

    private final TargetSubset subset;

    private final Map<TargetId, PermitLease> leases = new TreeMap<>();

    private final Map<ServiceName, WaitingRequests<W>> queues = new HashMap<>();

    /** The configuration that was adopted last. */
    private Configuration configuration = Configuration.EMPTY;

    /** The numbers of waiting requests by target, or {@code null} if they must be counted again. */
    @Nullable
    private Map<TargetId, WaitingCounts> waitingCounts;

    private PermitBook(FailureDomain domain, Optional<Routing> routing, TargetSubset subset) {
        this.domain = domain;
        this.routing = routing;
        this.subset = subset;
    }

    /**
     * Creates an empty book for an instance that uses all targets.
     *
     * @param <V> The type of the object that is notified of the outcome of a request.
     * @param domain The failure domain of this instance.
     * @param routing The routing of all services, or empty to use the routing that fits the kind of each service.
     * @return An empty book.
     */
    public static <V> PermitBook<V> of(FailureDomain domain, Optional<Routing> routing) {
        return new PermitBook<>(domain, routing, TargetSubset.ofAll());
    }

    /**
     * Creates an empty book for an instance that uses a subset of the targets.
     *
     * @param <V> The type of the object that is notified of the outcome of a request.
     * @param domain The failure domain of this instance.
     * @param routing The routing of all services, or empty to use the routing that fits the kind of each service.
     * @param subset The targets that this instance uses; the book passes each adopted configuration on to it.
     * @return An empty book.
     */
    public static <V> PermitBook<V> of(FailureDomain domain, Optional<Routing> routing, TargetSubset subset) {
        return new PermitBook<>(domain, routing, subset);
    }

    /**
     * Adopts a configuration. From now on no request starts on a target that was removed or whose failure domain was
     * taken out of service.
     *
     * @param value The configuration.
     * @param now The current monotonic time in nanoseconds.
     */
    public void adopt(Configuration value, long now) {
        configuration = value;
        subset.adopt(value);
        waitingCounts = null;
        leases.values().forEach(lease -> {
            Optional<Target> target = value.targets().get(lease.target().id()).toJavaOptional();
            target.ifPresent(lease::target);
            if (target.isEmpty() || value.isOut(target.get().domain())) {
                lease.lower(0, 0);
            }
        });
        value.targets().values().filter(target -> subset.includes(target.id())).forEach(target -> lease(target, now));
        leases.values()
                .removeIf(lease ->
                        lease.use() == 0 && !subset.includes(lease.target().id()));
        queues.values().forEach(WaitingRequests::invalidateTargets);
    }

    /**
     * Returns the targets of a service that are usable and belong to the subset of this instance.
     *
     * @param service The service.
     * @return The targets, sorted by name.
     */
    public List<Target> usable(ServiceName service) {
        return waiting(service).targets(configuration, subset, service);
    }

    /**
     * Adds a request to the queue of its service.
     *
     * @param ticket The request.
     * @return The requests that were displaced because the queue is full; the new request may be one of them.
     */
    public List<Ticket<W>> enqueue(Ticket<W> ticket) {
        PermitDemand demand = ticket.demand();
        waitingCounts = null;
        return waiting(demand.service())
                .queue
                .offer(demand.team(), demand.weight(), demand.batch(), demand.deadline(), ticket);
    }

    /**
     * Creates a ticket for a request without adding it to a queue.
     *
     * @param demand The requirements of the request.
     * @param waiter The object that is notified of the outcome.
     * @param draw A random number, or a counter for {@link Routing.RoundRobin}.
     * @param now The current monotonic time in nanoseconds.
     * @return A ticket.
     */
    public Ticket<W> ticket(PermitDemand demand, W waiter, long draw, long now) {
        return new Ticket<>(demand, waiter, draw, now);
    }

    /**
     * Removes a request that no longer waits from its queue.
     *
     * @param ticket The request.
     */
    public void cancel(Ticket<W> ticket) {
        waitingCounts = null;
        waiting(ticket.demand().service()).queue.removeIf(other -> other == ticket);
    }

    /**
     * Starts the waiting requests for which there is a permit, in the order of the fair queues.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The requests that start, with their targets.
     */
    public List<Start<W>> dispatch(long now) {
        List<Start<W>> starts = new ArrayList<>();
        queues.forEach((service, waiting) -> dispatch(service, waiting, starts, now));
        return starts;
    }

    /**
     * Returns the permit of a request that ended.
     *
     * @param target The target.
     * @param batch Whether it was a batch request.
     */
    public void end(TargetId target, boolean batch) {
        PermitLease lease = leases.get(target);
        if (lease != null) {
            lease.end(batch);
            if (lease.use() == 0 && !subset.includes(target)) {
                leases.remove(target);
            }
        }
    }

    /**
     * Removes the requests that cannot be served before their deadline, and lets the others use more targets.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The requests that were removed.
     */
    public List<Ticket<W>> expire(long now) {
        waitingCounts = null;
        List<Ticket<W>> expired = new ArrayList<>();
        queues.values().forEach(waiting -> {
            expired.addAll(waiting.queue.expire(now, waiting.serviceInterval()));
            waiting.queue.waiting().forEach(ticket -> ticket.widen(WIDEN_INTERVAL_NANOS, now));
        });
        return expired;
    }

    /**
     * Records that a target reset a connection.
     *
     * @param target The target.
     * @param now The current monotonic time in nanoseconds.
     */
    public void recordReset(TargetId target, long now) {
        PermitLease lease = leases.get(target);
        if (lease != null) {
            lease.recordReset(now);
        }
    }

    /**
     * Records the start mark that an answer carried. A target chooses a new start mark each time it starts.
     *
     * @param target The target.
     * @param mark The start mark, or empty text.
     * @param now The current monotonic time in nanoseconds.
     * @return Whether the target restarted since the last start mark.
     */
    public boolean recordStartMark(TargetId target, String mark, long now) {
        PermitLease lease = leases.get(target);
        return lease != null && !mark.isEmpty() && lease.recordStartMark(mark, now);
    }

    /**
     * Records that the first token of an answer was received.
     *
     * @param target The target.
     * @param millis The time from the request to the first token, in milliseconds.
     */
    public void recordFirstToken(TargetId target, long millis) {
        PermitLease lease = leases.get(target);
        if (lease != null) {
            lease.recordFirstToken(millis);
        }
    }

    /**
     * Returns how many running batch requests must be recalled.
     *
     * @return The number of batch requests to recall by target, for targets where it is above 0.
     */
    public Map<TargetId, Integer> recalls() {
        Map<TargetId, WaitingCounts> waitingCounts = waitingCounts();
        Map<TargetId, Integer> recalls = new TreeMap<>();
        leases.forEach((id, lease) -> {
            int excess = lease.batchExcess(
                    waitingCounts.getOrDefault(id, WaitingCounts.NONE).online());
            if (excess > 0) {
                recalls.put(id, excess);
            }
        });
        return recalls;
    }

    /**
     * Returns the lease of a target.
     *
     * @param target The target.
     * @return The lease, or {@code null} if the target is unknown.
     */
    @Nullable
    PermitLease lease(TargetId target) {
        return leases.get(target);
    }

    /**
     * Returns the numbers of waiting requests by target. A request counts for each target that it may use now.
     *
     * @return The numbers, for targets that at least one waiting request may use.
     */
    Map<TargetId, WaitingCounts> waitingCounts() {
        Map<TargetId, WaitingCounts> cached = waitingCounts;
        if (cached == null) {
            cached = countWaiting();
            waitingCounts = cached;
        }
        return cached;
    }

    private Map<TargetId, WaitingCounts> countWaiting() {
        Map<TargetId, WaitingCounts> result = new HashMap<>();
        queues.forEach((service, waiting) -> {
            List<Candidate> candidates = candidates(service, waiting);
            for (Ticket<W> ticket : waiting.queue.waiting()) {
                for (Candidate candidate : eligibleTargets(ticket, service, candidates)) {
                    result.merge(candidate.target().id(), WaitingCounts.of(ticket.demand()), WaitingCounts::plus);
                }
            }
        });
        return result;
    }

    Map<TargetId, PermitLease> leases() {
        return leases;
    }

    /**
     * Starts the requests of a service for which there is a permit.
     *
     * @param service The service.
     * @param waiting The waiting requests of the service.
     * @param starts The list to which the requests that start are added.
     * @param now The current monotonic time in nanoseconds.
     */
    private void dispatch(ServiceName service, WaitingRequests<W> waiting, List<Start<W>> starts, long now) {
        while (waiting.queue.size() > 0) {
            List<Candidate> candidates = candidates(service, waiting);
            boolean online = hasSparePermit(candidates, false, now);
            boolean batch = hasSparePermit(candidates, true, now);
            if (!online && !batch) {
                return;
            }
            Ticket<W> ticket = waiting.queue.poll(other -> (other.demand().batch() ? batch : online)
                    && chooseLease(other, service, candidates, now).isPresent());
            if (ticket == null) {
                return;
            }
            waitingCounts = null;
            PermitLease lease = chooseLease(ticket, service, candidates, now).orElseThrow();
            lease.start(ticket.demand().batch());
            waiting.served(now);
            starts.add(new Start<>(ticket, lease.target()));
        }
    }

    /**
     * Returns whether any target has a spare permit. This check is cheap and avoids ordering the targets for each
     * request.
     *
     * @param candidates The targets of a service.
     * @param batch Whether the permit is for a batch request.
     * @param now The current monotonic time in nanoseconds.
     * @return Whether one has a spare permit.
     */
    private boolean hasSparePermit(List<Candidate> candidates, boolean batch, long now) {
        return candidates.stream()
                .map(candidate -> leases.get(candidate.target().id()))
                .anyMatch(lease -> lease != null && lease.hasSparePermit(batch, now));
    }

    /**
     * Returns the lease under which a request would start.
     *
     * @param ticket The request.
     * @param service The service.
     * @param candidates The targets of the service.
     * @param now The current monotonic time in nanoseconds.
     * @return The lease of the first eligible target that has a spare permit, if any.
     */
    private Optional<PermitLease> chooseLease(
            Ticket<W> ticket, ServiceName service, List<Candidate> candidates, long now) {
        return eligibleTargets(ticket, service, candidates).stream()
                .map(candidate -> lease(candidate.target(), now))
                .filter(lease -> lease.hasSparePermit(ticket.demand().batch(), now))
                .findFirst();
    }

    /**
     * Returns the targets that a request may use now.
     *
     * @param ticket The request.
     * @param service The service.
     * @param candidates The targets of the service.
     * @return The targets, most preferred first.
     */
    private List<Candidate> eligibleTargets(Ticket<W> ticket, ServiceName service, List<Candidate> candidates) {
        PermitDemand demand = ticket.demand();
        List<Candidate> allowed = candidates.stream()
                .filter(candidate ->
                        !demand.excluded().contains(candidate.target().id()))
                .toList();
        List<Candidate> order = routing(service).order(demand.affinity(), domain, allowed, ticket.draw());
        return order.subList(0, Math.min(ticket.targetLimit(), order.size()));
    }

    private Routing routing(ServiceName service) {
        Service.Kind kind =
                configuration.services().get(service).map(Service::kind).getOrElse(Service.Kind.PLAIN);
        return routing.orElseGet(() -> Routing.forKind(kind));
    }

    /**
     * Returns the usable targets of a service with their loads.
     *
     * @param service The service.
     * @param waiting The waiting requests of the service.
     * @return The targets, sorted by name.
     */
    private List<Candidate> candidates(ServiceName service, WaitingRequests<W> waiting) {
        return waiting.targets(configuration, subset, service).stream()
                .map(target -> {
                    PermitLease lease = leases.get(target.id());
                    return Candidate.of(target, lease == null ? 0 : lease.load());
                })
                .toList();
    }

    /**
     * Returns the lease of a target, and creates an empty one if there is none.
     *
     * @param target The target.
     * @param now The current monotonic time in nanoseconds.
     * @return The lease.
     */
    private PermitLease lease(Target target, long now) {
        return leases.computeIfAbsent(target.id(), id -> new PermitLease(target, now));
    }

    /**
     * Returns the waiting requests of a service, and creates an empty queue if there is none.
     *
     * @param service The service.
     * @return The waiting requests.
     */
    private WaitingRequests<W> waiting(ServiceName service) {
        return queues.computeIfAbsent(service, name -> new WaitingRequests<>());
    }

    /**
     * A request that starts.
     *
     * @param <V> The type of the object that is notified of the outcome.
     * @param ticket The request.
     * @param target The target that receives it.
     */
    public record Start<V>(Ticket<V> ticket, Target target) {}

    /**
     * The numbers of waiting requests.
     *
     * @param online The online requests.
     * @param batch The batch requests.
     */
    record WaitingCounts(int online, int batch) {

        static final WaitingCounts NONE = new WaitingCounts(0, 0);

        static WaitingCounts of(PermitDemand demand) {
            return demand.batch() ? new WaitingCounts(0, 1) : new WaitingCounts(1, 0);
        }

        WaitingCounts plus(WaitingCounts other) {
            return new WaitingCounts(online + other.online, batch + other.batch);
        }
    }
}
