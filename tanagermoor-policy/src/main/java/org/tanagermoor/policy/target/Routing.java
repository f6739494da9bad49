package org.tanagermoor.policy.target;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.tanagermoor.policy.configuration.Service;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.Rendezvous;

/** The strategy that orders the targets of a service for a request. */
public sealed interface Routing {

    /** The factor of the mean load above which a preferred target is skipped. */
    double MAX_RELATIVE_LOAD = 1.25;

    /** The load up to which a target is never skipped. */
    double MIN_LOAD_BOUND = 0.25;

    /**
     * Returns the routing that fits a kind of service.
     *
     * @param kind The kind of the service.
     * @return The routing.
     */
    static Routing forKind(Service.Kind kind) {
        return switch (kind) {
            case MODEL -> new PrefixAffinity();
            case PLAIN -> new LeastLoaded();
        };
    }

    /**
     * Returns the targets for a request, most preferred first.
     *
     * @param prefix The key that requests with the same cached prompt prefix share, or empty text.
     * @param domain The failure domain of this instance.
     * @param candidates The targets that the request may use, sorted by name.
     * @param draw A random number, or a counter for {@link RoundRobin}.
     * @return The targets in order, each of them once.
     */
    default List<Candidate> order(String prefix, FailureDomain domain, List<Candidate> candidates, long draw) {
        if (candidates.size() < 2) {
            return candidates;
        }
        return switch (this) {
            case PrefixAffinity ignored when !prefix.isEmpty() -> byPrefix(prefix, domain, candidates);
            case PrefixAffinity ignored -> byLoad(domain, candidates, draw);
            case LeastLoaded ignored -> byLoad(domain, candidates, draw);
            case Random ignored -> rotated(candidates, mixedBits(draw));
            case RoundRobin ignored -> rotated(candidates, draw);
        };
    }

    /**
     * Orders the targets by prefix affinity: the first of the rendezvous hash, or while that is overloaded the less
     * loaded of the next two.
     *
     * @param prefix The key of the prompt prefix.
     * @param domain The failure domain of this instance.
     * @param candidates The targets.
     * @return The targets in order.
     */
    private static List<Candidate> byPrefix(String prefix, FailureDomain domain, List<Candidate> candidates) {
        List<Candidate> ranked = Rendezvous.ranked(prefix, candidates, Candidate::name);
        double loadBound = loadBound(candidates);
        List<Candidate> result = new ArrayList<>(ranked.subList(1, Math.min(3, ranked.size())));
        result.sort(Comparator.comparingDouble(Candidate::load).thenComparing(sameDomainFirst(domain)));
        result.add(ranked.getFirst().load() <= loadBound ? 0 : result.size(), ranked.getFirst());
        List<Candidate> rest = new ArrayList<>(ranked.subList(result.size(), ranked.size()));
        rest.sort(Comparator.comparingDouble(Candidate::load).thenComparing(sameDomainFirst(domain)));
        result.addAll(rest);
        return result;
    }

    /**
     * Orders the targets by load, with the less loaded of two random targets first. These are drawn from the failure
     * domain of this instance unless its mean load is too high.
     *
     * @param domain The failure domain of this instance.
     * @param candidates The targets.
     * @param draw A random number.
     * @return The targets in order.
     */
    private static List<Candidate> byLoad(FailureDomain domain, List<Candidate> candidates, long draw) {
        List<Candidate> sameDomain = candidates.stream()
                .filter(candidate -> candidate.target().domain().equals(domain))
                .toList();
        double loadBound = loadBound(candidates);
        List<Candidate> pool = meanLoad(sameDomain) <= loadBound && !sameDomain.isEmpty() ? sameDomain : candidates;
        Candidate chosen = lessLoadedOfTwo(pool, mixedBits(draw));
        if (chosen.load() > loadBound) {
            chosen = lessLoadedOfTwo(candidates, mixedBits(draw + 1));
        }
        List<Candidate> result = new ArrayList<>(candidates);
        result.remove(chosen);
        result.sort(sameDomainFirst(domain).thenComparingDouble(Candidate::load));
        result.add(0, chosen);
        return result;
    }

    /**
     * Returns the less loaded of two random targets.
     *
     * @param pool The targets, at least one.
     * @param draw A random number.
     * @return The less loaded of two of them.
     */
    private static Candidate lessLoadedOfTwo(List<Candidate> pool, long draw) {
        int size = pool.size();
        int first = Math.floorMod(draw, size);
        int second = size == 1 ? first : Math.floorMod(first + 1 + Math.floorMod(draw >>> 32, size - 1), size);
        Candidate one = pool.get(first);
        Candidate other = pool.get(second);
        return one.load() <= other.load() ? one : other;
    }

    /**
     * Rotates the list of targets so that it begins at a given position.
     *
     * @param candidates The targets.
     * @param draw The position, taken modulo the number of targets.
     * @return The targets in order.
     */
    private static List<Candidate> rotated(List<Candidate> candidates, long draw) {
        int first = Math.floorMod(draw, candidates.size());
        List<Candidate> result = new ArrayList<>(candidates.subList(first, candidates.size()));
        result.addAll(candidates.subList(0, first));
        return result;
    }

    /**
     * Returns the load above which a target is skipped.
     *
     * @param candidates All targets.
     * @return The load.
     */
    private static double loadBound(List<Candidate> candidates) {
        return Math.max(MIN_LOAD_BOUND, meanLoad(candidates) * MAX_RELATIVE_LOAD);
    }

    /**
     * Returns the mean load of targets.
     *
     * @param candidates The targets.
     * @return The mean load, 0 if there is no target.
     */
    private static double meanLoad(List<Candidate> candidates) {
        return candidates.stream().mapToDouble(Candidate::load).average().orElse(0);
    }

    /**
     * Returns a comparator that sorts the targets of a failure domain first.
     *
     * @param domain The failure domain.
     * @return The comparator.
     */
    private static Comparator<Candidate> sameDomainFirst(FailureDomain domain) {
        return Comparator.comparing(candidate -> !candidate.target().domain().equals(domain));
    }

    /**
     * Spreads the bits of a number.
     *
     * @param draw The number.
     * @return A number in which every bit depends on all bits of the given one.
     */
    private static long mixedBits(long draw) {
        long mixedBits = (draw ^ (draw >>> 33)) * 0xff51afd7ed558ccdL;
        mixedBits = (mixedBits ^ (mixedBits >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixedBits ^ (mixedBits >>> 33);
    }

    /** Prefix affinity with bounded load, for model engines; requests without a prefix are routed by load. */
    record PrefixAffinity() implements Routing {}

    /** The less loaded of two random targets, the own failure domain first, for plain services. */
    record LeastLoaded() implements Routing {}

    /** A random target: a baseline for measurements. */
    record Random() implements Routing {}

    /** The targets in turn: a baseline for measurements. */
    record RoundRobin() implements Routing {}
}
