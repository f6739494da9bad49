package org.tanagermoor.gateway.dispatch;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** Asks the holders of places of items of jobs to return them. Not thread-safe. */
final class Recalls {

    /** The granted places that are in use, by holder and number of the permit. */
    private final Map<String, Map<Long, Grant>> occupied;

    private final DispatchSink sink;

    /** The grants whose holders were asked to return the place. */
    private final Set<Grant> recalled = new HashSet<>();

    Recalls(Map<String, Map<Long, Grant>> occupied, DispatchSink sink) {
        this.occupied = occupied;
        this.sink = sink;
    }

    /** Notes that a place was returned. */
    void returned(Grant place) {
        recalled.remove(place);
    }

    /** Recalls the item of a job for whose caller the loss is smallest. */
    void recallOne(ServiceQueue queue, long now) {
        Predicate<Grant> excluded = queue.rollout().excluded(now);
        Grant best = null;
        for (Map<Long, Grant> permits : occupied.values()) {
            for (Grant place : permits.values()) {
                TargetPlaces target = queue.places().get(place.target);
                if (place.batch
                        && target != null
                        && target.requestLimit().allowed(now) > 0
                        && !excluded.test(place)
                        && !recalled.contains(place)
                        && !queue.suspects().isolates(place)
                        && (best == null || place.cheaperToRecall(best, queue.headroom(), now))) {
                    best = place;
                }
            }
        }
        if (best != null) {
            recall(best);
        }
    }

    /** Recalls the items of jobs at targets that get no requests any more because of a roll-out. */
    void recallExcluded(Collection<Grant> grants, ServiceQueue queue, long now) {
        if (queue.rollout().recallDue(now)) {
            Predicate<Grant> excluded = queue.rollout().excluded(now);
            grants.stream().filter(place -> place.batch && excluded.test(place)).forEach(this::recall);
        }
    }

    /** Recalls the items of jobs at a target. */
    void recallAt(String target) {
        occupied.values().stream()
                .flatMap(permits -> permits.values().stream())
                .filter(place -> place.batch && place.target.equals(target) && !recalled.contains(place))
                .toList()
                .forEach(this::recall);
    }

    /** Returns the granted places of a service. */
    List<Grant> grants(String service) {
        return occupied.values().stream()
                .flatMap(permits -> permits.values().stream())
                .filter(place -> place.service.equals(service))
                .toList();
    }

    private void recall(Grant place) {
        recalled.add(place);
        sink.recall(place.holder, place.permit);
    }
}
