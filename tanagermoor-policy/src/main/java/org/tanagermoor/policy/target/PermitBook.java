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
 * The permits that an instance holds, and the requests that wait for one. Not safe for use by several threads.
 *
 * @param <W> The type of what is to be told of the outcome of a request.
 */
public final class PermitBook<W> {

    /** The nanoseconds of a millisecond. */
    public static final long NANOS_PER_MILLI = 1_000_000;

    /** The time that a request waits for a target before it may use the next one too, in nanoseconds. */
    private static final long WIDEN_INTERVAL = 10 * NANOS_PER_MILLI;

    /** The failure domain of this instance. */
    private final FailureDomain domain;

    /** The routing in place of that which fits the service, if one was chosen. */
    private final Optional<Routing> routing;

    /** The targets that this instance uses. */
    private final TargetSubset subset;

    /** The leases by target. */
    private final Map<TargetId, PermitLease> leases = new TreeMap<>();

    /** The queues by service. */
    private final Map<ServiceName, WaitingRequests<W>> queues = new HashMap<>();

    /** The adopted configuration. */
    private Configuration configuration = Configuration.EMPTY;

    /** What waits, by target, or {@code null} if it must be counted anew. */
    @Nullable
    private Map<TargetId, Wanted> wanted;

    /**
     * Creates a book.
     *
     * @param domain The failure domain of this instance.
     * @param routing The routing in place of that which fits the service, if one was chosen.
     * @param subset The targets that this instance uses.
     */
    private PermitBook(FailureDomain domain, Optional<Routing> routing, TargetSubset subset) {
        this.domain = domain;
        this.routing = routing;
        this.subset = subset;
    }

    /**
     * Returns an empty book of an instance that uses all targets.
     *
     * @param <V> The type of what is to be told of the outcome of a request.
     * @param domain The failure domain of this instance.
     * @param routing The routing in place of that which fits the service, if one was chosen.
     * @return An empty book.
     */
    public static <V> PermitBook<V> of(FailureDomain domain, Optional<Routing> routing) {
        return new PermitBook<>(domain, routing, TargetSubset.ofAll());
    }

    /**
     * Returns an empty book.
     *
     * @param <V> The type of what is to be told of the outcome of a request.
     * @param domain The failure domain of this instance.
     * @param routing The routing in place of that which fits the service, if one was chosen.
     * @param subset The targets that this instance uses; the book lets it adopt configurations.
     * @return An empty book.
     */
    public static <V> PermitBook<V> of(FailureDomain domain, Optional<Routing> routing, TargetSubset subset) {
        return new PermitBook<>(domain, routing, subset);
    }

    /**
     * Adopts a configuration. Targets that are removed or in a failure domain that is taken out get nothing new from
     * now on.
     *
     * @param value The configuration.
     * @param now The present monotonic time in nanoseconds.
     */
    public void adopt(Configuration value, long now) {
        configuration = value;
        subset.adopt(value);
        wanted = null;
        leases.values().forEach(lease -> {
            Optional<Target> target = value.targets().get(lease.target().id()).toJavaOptional();
            target.ifPresent(lease::target);
            if (target.isEmpty() || value.isTakenOut(target.get().domain())) {
                lease.lower(0, 0);
            }
        });
        value.targets().values().filter(target -> subset.has(target.id())).forEach(target -> lease(target, now));
        leases.values()
                .removeIf(
                        lease -> lease.use() == 0 && !subset.has(lease.target().id()));
        queues.values().forEach(WaitingRequests::forgetTargets);
    }

    /**
     * Returns the usable targets of a service that this instance uses.
     *
     * @param service The service.
     * @return The targets, in the order of their names.
     */
    public List<Target> usable(ServiceName service) {
        return waiting(service).targets(configuration, subset, service);
    }

    /**
     * Lets a request wait for a permit.
     *
     * @param ticket The request.
     * @return The requests that had to make room, which may include this one.
     */
    public List<Ticket<W>> enqueue(Ticket<W> ticket) {
        PermitDemand demand = ticket.demand();
        wanted = null;
        return waiting(demand.service())
                .queue
                .offer(demand.team(), demand.weight(), demand.batch(), demand.deadline(), ticket);
    }

    /**
     * Returns a ticket for a request.
     *
     * @param demand What is asked for.
     * @param waiter What is to be told of the outcome.
     * @param draw A number drawn at random, or counted up for {@link Routing.RoundRobin}.
     * @param now The present monotonic time in nanoseconds.
     * @return A ticket.
     */
    public Ticket<W> ticket(PermitDemand demand, W waiter, long draw, long now) {
        return new Ticket<>(demand, waiter, draw, now);
    }

    /**
     * Removes a request that no longer waits.
     *
     * @param ticket The request.
     */
    public void cancel(Ticket<W> ticket) {
        wanted = null;
        waiting(ticket.demand().service()).queue.removeIf(other -> other == ticket);
    }

    /**
     * Starts the requests for which there is a permit, in the order of the fair queues.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return The requests that start.
     */
    public List<Start<W>> dispatch(long now) {
        List<Start<W>> starts = new ArrayList<>();
        queues.forEach((service, waiting) -> dispatch(service, waiting, starts, now));
        return starts;
    }

    /**
     * Counts a request that ended.
     *
     * @param target The target.
     * @param batch Whether it was a batch request.
     */
    public void end(TargetId target, boolean batch) {
        PermitLease lease = leases.get(target);
        if (lease != null) {
            lease.end(batch);
            if (lease.use() == 0 && !subset.has(target)) {
                leases.remove(target);
            }
        }
    }

    /**
     * Lets requests that wait use more targets, and removes those that cannot be served by their deadline.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return The requests that were removed.
     */
    public List<Ticket<W>> expire(long now) {
        wanted = null;
        List<Ticket<W>> expired = new ArrayList<>();
        queues.values().forEach(waiting -> {
            expired.addAll(waiting.queue.expire(now, waiting.interval()));
            waiting.queue.waiting().forEach(ticket -> ticket.widen(WIDEN_INTERVAL, now));
        });
        return expired;
    }

    /**
     * Notes that a target reset a connection.
     *
     * @param target The target.
     * @param now The present monotonic time in nanoseconds.
     */
    public void seeReset(TargetId target, long now) {
        PermitLease lease = leases.get(target);
        if (lease != null) {
            lease.seeReset(now);
        }
    }

    /**
     * Notes the start mark that an answer carried.
     *
     * @param target The target.
     * @param mark The start mark, or empty text.
     * @param now The present monotonic time in nanoseconds.
     * @return Whether the target started anew since the last one.
     */
    public boolean seeMark(TargetId target, String mark, long now) {
        PermitLease lease = leases.get(target);
        return lease != null && !mark.isEmpty() && lease.seeMark(mark, now);
    }

    /**
     * Notes a first token.
     *
     * @param target The target.
     * @param millis The time to it in milliseconds.
     */
    public void seeFirstToken(TargetId target, long millis) {
        PermitLease lease = leases.get(target);
        if (lease != null) {
            lease.seeFirstToken(millis);
        }
    }

    /**
     * Returns the batch requests to recall.
     *
     * @return The number of batch requests to recall by target, where it is above 0.
     */
    public Map<TargetId, Integer> recalls() {
        Map<TargetId, Wanted> wanted = wanted();
        Map<TargetId, Integer> recalls = new TreeMap<>();
        leases.forEach((id, lease) -> {
            int excess = lease.batchExcess(wanted.getOrDefault(id, Wanted.NONE).online());
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
     * @return The lease, or {@code null} if there is no such target.
     */
    @Nullable
    PermitLease lease(TargetId target) {
        return leases.get(target);
    }

    /**
     * Returns what waits, by target.
     *
     * @return What waits, by target, for those that may be used for a request that waits.
     */
    Map<TargetId, Wanted> wanted() {
        Map<TargetId, Wanted> known = wanted;
        if (known == null) {
            known = countWanted();
            wanted = known;
        }
        return known;
    }

    /**
     * Counts what waits, by target.
     *
     * @return What waits, by target, for those that may be used for a request that waits.
     */
    private Map<TargetId, Wanted> countWanted() {
        Map<TargetId, Wanted> result = new HashMap<>();
        queues.forEach((service, waiting) -> {
            List<Candidate> candidates = candidates(service, waiting);
            for (Ticket<W> ticket : waiting.queue.waiting()) {
                for (Candidate candidate : reachable(ticket, service, candidates)) {
                    result.merge(candidate.target().id(), Wanted.of(ticket.demand()), Wanted::plus);
                }
            }
        });
        return result;
    }

    /**
     * Returns the leases of all targets.
     *
     * @return The leases by target.
     */
    Map<TargetId, PermitLease> leases() {
        return leases;
    }

    /**
     * Starts the requests of a service for which there is a permit.
     *
     * @param service The service.
     * @param waiting What waits.
     * @param starts Receives the requests that start.
     * @param now The present monotonic time in nanoseconds.
     */
    private void dispatch(ServiceName service, WaitingRequests<W> waiting, List<Start<W>> starts, long now) {
        while (waiting.queue.size() > 0) {
            List<Candidate> candidates = candidates(service, waiting);
            boolean online = spare(candidates, false, now);
            boolean batch = spare(candidates, true, now);
            if (!online && !batch) {
                return;
            }
            Ticket<W> ticket = waiting.queue.poll(other -> (other.demand().batch() ? batch : online)
                    && choose(other, service, candidates, now).isPresent());
            if (ticket == null) {
                return;
            }
            wanted = null;
            PermitLease lease = choose(ticket, service, candidates, now).orElseThrow();
            lease.start(ticket.demand().batch());
            waiting.served(now);
            starts.add(new Start<>(ticket, lease.target()));
        }
    }

    /**
     * Returns whether any target has a permit to spare. Asked before the targets are put in order for each request.
     *
     * @param candidates The targets of a service.
     * @param batch Whether the permit is for a batch request.
     * @param now The present monotonic time in nanoseconds.
     * @return Whether one has a permit to spare.
     */
    private boolean spare(List<Candidate> candidates, boolean batch, long now) {
        return candidates.stream()
                .map(candidate -> leases.get(candidate.target().id()))
                .anyMatch(lease -> lease != null && lease.spare(batch, now));
    }

    /**
     * Returns the lease that a request would use.
     *
     * @param ticket The request.
     * @param service The service.
     * @param candidates The targets of the service.
     * @param now The present monotonic time in nanoseconds.
     * @return The lease, if one has a permit to spare.
     */
    private Optional<PermitLease> choose(Ticket<W> ticket, ServiceName service, List<Candidate> candidates, long now) {
        return reachable(ticket, service, candidates).stream()
                .map(candidate -> lease(candidate.target(), now))
                .filter(lease -> lease.spare(ticket.demand().batch(), now))
                .findFirst();
    }

    /**
     * Returns the targets that a request may use now.
     *
     * @param ticket The request.
     * @param service The service.
     * @param candidates The targets of the service.
     * @return The targets in the order in which they are tried.
     */
    private List<Candidate> reachable(Ticket<W> ticket, ServiceName service, List<Candidate> candidates) {
        PermitDemand demand = ticket.demand();
        List<Candidate> allowed = candidates.stream()
                .filter(candidate ->
                        !demand.excluded().contains(candidate.target().id()))
                .toList();
        List<Candidate> order = routing(service).order(demand.affinity(), domain, allowed, ticket.draw());
        return order.subList(0, Math.min(ticket.reach(), order.size()));
    }

    /**
     * Returns the routing of a service.
     *
     * @param service The service.
     * @return The routing.
     */
    private Routing routing(ServiceName service) {
        Service.Kind kind =
                configuration.services().get(service).map(Service::kind).getOrElse(Service.Kind.PLAIN);
        return routing.orElseGet(() -> Routing.forKind(kind));
    }

    /**
     * Returns the usable targets of a service with their loads.
     *
     * @param service The service.
     * @param waiting What waits for it.
     * @return The targets, in the order of their names.
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
     * Returns the lease of a target, and makes an empty one if there is none.
     *
     * @param target The target.
     * @param now The present monotonic time in nanoseconds.
     * @return The lease.
     */
    private PermitLease lease(Target target, long now) {
        return leases.computeIfAbsent(target.id(), id -> new PermitLease(target, now));
    }

    /**
     * Returns what waits for a service.
     *
     * @param service The service.
     * @return What waits for it.
     */
    private WaitingRequests<W> waiting(ServiceName service) {
        return queues.computeIfAbsent(service, name -> new WaitingRequests<>());
    }

    /**
     * A request that starts.
     *
     * @param <V> The type of what is to be told.
     * @param ticket The request.
     * @param target The target.
     */
    public record Start<V>(Ticket<V> ticket, Target target) {}

    /**
     * The numbers of requests that wait.
     *
     * @param online The online requests.
     * @param batch The batch requests.
     */
    record Wanted(int online, int batch) {

        /** Nothing waits. */
        static final Wanted NONE = new Wanted(0, 0);

        /**
         * Returns one request.
         *
         * @param demand What it asks for.
         * @return One request.
         */
        static Wanted of(PermitDemand demand) {
            return demand.batch() ? new Wanted(0, 1) : new Wanted(1, 0);
        }

        /**
         * Returns a sum.
         *
         * @param other The other summand.
         * @return The sum.
         */
        Wanted plus(Wanted other) {
            return new Wanted(online + other.online, batch + other.batch);
        }
    }
}
