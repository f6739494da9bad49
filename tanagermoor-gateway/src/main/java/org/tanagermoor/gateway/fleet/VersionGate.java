package org.tanagermoor.gateway.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Tells which versions of a service must get no requests: those that a roll-out excludes, and those that have just
 * appeared and may be part of a roll-out whose order is not known yet. Not thread-safe.
 */
public final class VersionGate {

    /**
     * The time for which a service must have had targets before another version is withheld, in nanoseconds: targets
     * that start together with the service are not part of a roll-out.
     */
    private static final long ESTABLISHED_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** The time for which a version is withheld at most, in nanoseconds; a later order is not waited for. */
    private static final long WITHHELD_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** The monotonic time in nanoseconds since which a target is known, by the identity of the target. */
    private final Map<String, Long> knownSince = new HashMap<>();

    /**
     * The versions that targets of a service have had, by service, each with the monotonic time in nanoseconds until
     * which it is withheld.
     */
    private final Map<String, Map<String, Long>> versions = new HashMap<>();

    /** The versions that get no requests, by service. */
    private Map<String, Set<String>> excluded = Map.of();

    private VersionGate() {}

    /** Returns a gate that knows no targets and excludes no version. */
    public static VersionGate of() {
        return new VersionGate();
    }

    /**
     * Records that a target registered.
     *
     * @param target The target.
     * @param others The targets that are known.
     * @param ordered Whether an order for a roll-out to its version is known.
     * @param now The current monotonic time in nanoseconds.
     * @return Whether its version is withheld from now on.
     */
    public boolean registered(TargetEntry target, Collection<TargetEntry> others, boolean ordered, long now) {
        knownSince.putIfAbsent(target.id(), now);
        Map<String, Long> known = versions.computeIfAbsent(target.service(), name -> new HashMap<>());
        if (known.containsKey(target.version())) {
            return false;
        }
        boolean withheld = !ordered
                && others.stream()
                        .anyMatch(other -> other.service().equals(target.service())
                                && !other.id().equals(target.id())
                                && established(other.id(), now));
        known.put(target.version(), withheld ? now + WITHHELD_NANOS : now);
        return withheld;
    }

    /** Records that the entry of a target was removed. */
    public void removed(String id) {
        knownSince.remove(id);
    }

    /**
     * Returns whether a version is withheld.
     *
     * @param service The name of the service.
     * @param version The version.
     * @param now The current monotonic time in nanoseconds.
     */
    public boolean withheld(String service, String version, long now) {
        Map<String, Long> known = versions.get(service);
        Long until = known == null ? null : known.get(version);
        return until != null && until - now > 0;
    }

    /**
     * Returns whether a target has been known for so long that another version may be part of a roll-out.
     *
     * @param id The identity of the target.
     * @param now The current monotonic time in nanoseconds.
     */
    public boolean established(String id, long now) {
        return now - knownSince.getOrDefault(id, now) >= ESTABLISHED_NANOS;
    }

    /** Returns the versions that targets of a service have had. */
    public Set<String> past(String service) {
        return Set.copyOf(versions.getOrDefault(service, Map.of()).keySet());
    }

    /** Returns whether a roll-out excludes a target of a version. */
    public boolean excluded(String service, String version) {
        return excluded.getOrDefault(service, Set.of()).contains(version);
    }

    /**
     * Replaces the versions that get no requests.
     *
     * @param value The versions by service.
     * @return Whether they differ from those before.
     */
    public boolean exclude(Map<String, Set<String>> value) {
        boolean changed = !excluded.equals(value);
        excluded = Map.copyOf(value);
        return changed;
    }
}
