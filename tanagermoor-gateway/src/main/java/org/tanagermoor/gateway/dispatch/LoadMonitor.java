package org.tanagermoor.gateway.dispatch;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.kernel.event.EventLog;

/**
 * Shows operators which targets are limited by their pace, and how many queued requests were overtaken by those of
 * other teams. Confined to the event loop.
 */
public final class LoadMonitor {

    /** The maximum number of targets that one check records, so that a return of all does not flood the log. */
    private static final int MAX_RECORDS = 16;

    private final Dispatcher dispatcher;

    private final EventLog events;

    private final Counter limitedTargets;

    private final Counter overtakenRequests;

    private final Counter namedLimits;

    /** The identities of the targets that were limited at the last check. */
    private Set<String> limited = Set.of();

    /** The request limits that targets named at the last check, by target. */
    private Map<String, Named> named = Map.of();

    /** The number of overtaken requests at the last check. */
    private long overtaken;

    private LoadMonitor(Dispatcher dispatcher, EventLog events, MetricRegistry registry) {
        this.dispatcher = dispatcher;
        this.events = events;
        limitedTargets = registry.counter("dispatch.targets-limited");
        namedLimits = registry.counter("dispatch.targets-naming-a-limit");
        overtakenRequests = registry.counter("dispatch.requests-overtaken");
    }

    /**
     * Returns a monitor of a dispatcher.
     *
     * @param dispatcher The dispatcher.
     * @param events The log.
     * @param registry The metrics.
     */
    public static LoadMonitor of(Dispatcher dispatcher, EventLog events, MetricRegistry registry) {
        return new LoadMonitor(dispatcher, events, registry);
    }

    /** Records what has changed since the last check. */
    public void tick() {
        overtakenRequests.inc(dispatcher.overtakenRequests() - overtaken);
        overtaken = dispatcher.overtakenRequests();
        recordLimits();
        Set<String> current = dispatcher.limitedTargets();
        if (current.equals(limited)) {
            return;
        }
        limitedTargets.inc(current.size() - (long) limited.size());
        record(current, limited, "limited");
        record(limited, current, "full");
        limited = current;
    }

    /** Records the request limits that have changed, with the number of requests that the targets got under them. */
    private void recordLimits() {
        Map<String, Named> current = new HashMap<>();
        dispatcher
                .limits()
                .named()
                .forEach((limit, sent) -> current.put(limit.target(), new Named(limit.text(), sent)));
        Set<String> targets = new TreeSet<>(current.keySet());
        targets.addAll(named.keySet());
        targets.stream()
                .filter(target -> !Named.text(current.get(target)).equals(Named.text(named.get(target))))
                .limit(MAX_RECORDS)
                .forEach(target -> events.record(
                        GatewayEvent.TARGET_REQUEST_LIMIT_CHANGED,
                        "target",
                        target,
                        "per-second",
                        Named.text(current.get(target)),
                        "before",
                        Named.text(named.get(target)),
                        "sent-before",
                        named.containsKey(target) ? named.get(target).sent() : 0));
        namedLimits.inc(current.size() - (long) named.size());
        named = current;
    }

    /** Records the targets that are in the first set and not in the second. */
    private void record(Set<String> targets, Set<String> without, String pace) {
        Set<String> changed = new HashSet<>(targets);
        changed.removeAll(without);
        changed.stream()
                .sorted()
                .limit(MAX_RECORDS)
                .forEach(target -> events.record(GatewayEvent.TARGET_PACE_CHANGED, "target", target, "pace", pace));
    }

    /**
     * A request limit that a target names.
     *
     * @param limit The limit as text.
     * @param sent The number of requests that the target got since the limit was learnt.
     */
    private record Named(String limit, long sent) {

        /** Returns the limit as text, also if there is none. */
        private static String text(@Nullable Named named) {
            return named == null ? "none" : named.limit();
        }
    }
}
