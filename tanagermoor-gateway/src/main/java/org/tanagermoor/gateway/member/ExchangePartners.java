package org.tanagermoor.gateway.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Rendezvous;

/**
 * Chooses with whom an instance exchanges heartbeats. The running instances form a ring in the order of a hash of their
 * names, and an instance exchanges with those at the distances 1, 3, 9 and so on, in turn. Heartbeats reach all
 * instances within about as many exchanges as with random partners, but the number of connections that an instance
 * opens, and of those that it accepts, is the logarithm of the size of the fleet.
 *
 * <p>Load: the idle fleet, whose exchanges are constant. With random partners, nearly each exchange of the first minute
 * after a start opens a connection.
 */
final class ExchangePartners {

    /** The factor between the distances of two partners: an exchange passes heartbeats on in both directions. */
    private static final int STRIDE = 3;

    /** The key under which the names of instances are hashed. */
    private static final String RING_KEY = "heartbeats";

    private ExchangePartners() {}

    /**
     * Returns the partners of an instance.
     *
     * @param self The instance.
     * @param running The other instances that run.
     * @return The partners, the nearest one on the ring first; empty if no other instance runs.
     */
    static List<Instance> of(InstanceId self, Collection<Instance> running) {
        long own = position(self);
        List<Successor> ring = new ArrayList<>();
        running.forEach(instance -> ring.add(new Successor(position(instance.id()) - own, instance)));
        ring.sort(Successor.ORDER);
        Set<Instance> partners = new LinkedHashSet<>();
        for (int distance = 1; distance <= ring.size(); distance *= STRIDE) {
            partners.add(ring.get(distance - 1).instance);
        }
        return List.copyOf(partners);
    }

    /**
     * Returns the partner of an exchange.
     *
     * @param partners The partners.
     * @param round The number of the exchange; consecutive exchanges have different partners.
     * @return The instance; empty if there is no partner.
     */
    static Optional<Instance> next(List<Instance> partners, int round) {
        return partners.isEmpty() ? Optional.empty() : Optional.of(partners.get(round % partners.size()));
    }

    private static long position(InstanceId id) {
        return Rendezvous.weight(RING_KEY, id.name());
    }

    /**
     * An instance that follows another one on the ring.
     *
     * @param distance The unsigned distance between their positions.
     */
    private record Successor(long distance, Instance instance) {

        private static final Comparator<Successor> ORDER = Comparator.<Successor>comparingLong(
                        successor -> successor.distance + Long.MIN_VALUE)
                .thenComparing(successor -> successor.instance.id().name());
    }
}
