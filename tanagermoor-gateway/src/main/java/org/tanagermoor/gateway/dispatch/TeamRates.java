package org.tanagermoor.gateway.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.gateway.fleet.FleetTeam;
import org.tanagermoor.policy.budget.RateLimit;
import org.tanagermoor.policy.budget.TokenBucket;

/** The rate and burst of each team, of which an instance admits a part. Not safe for use by several threads. */
public final class TeamRates {

    /**
     * The time for which the rate is admitted at once by an instance that takes over, in seconds. With
     * {@link #FIRST_REQUESTS} it stays within what a window of some seconds may exceed the limit by (a tenth and 20).
     */
    private static final double FIRST_SECONDS = 0.5;

    /** The requests that are admitted at once beside that. */
    private static final double FIRST_REQUESTS = 8;

    /** The buckets of the limited teams. */
    private final Map<String, TokenBucket> buckets = new HashMap<>();

    /** The limits of the limited teams. */
    private final Map<String, RateLimit> limits = new HashMap<>();

    /** The part of each limit that this instance may admit. */
    private double part = 1;

    /** Creates rates without teams. */
    private TeamRates() {}

    /** Returns rates without teams. */
    public static TeamRates of() {
        return new TeamRates();
    }

    /**
     * Takes over the teams of a configuration. A new team begins with a small part of its burst.
     *
     * @param teams The teams.
     * @param now The present monotonic time in nanoseconds.
     */
    public void teams(Collection<FleetTeam> teams, long now) {
        Set<String> present = new HashSet<>();
        for (FleetTeam team : teams) {
            if (team.limited()) {
                present.add(team.name());
                limits.put(team.name(), team.limit());
            }
        }
        limits.keySet().retainAll(present);
        buckets.keySet().retainAll(present);
        apply(now);
    }

    /**
     * Changes the part of each limit that this instance may admit. One that takes over begins with little, since
     * another may have admitted a burst lately.
     *
     * @param value The part, from 0 to 1.
     * @param now The present monotonic time in nanoseconds.
     */
    public void part(double value, long now) {
        if (value == part) {
            return;
        }
        boolean more = value > part;
        part = value;
        apply(now);
        if (more) {
            buckets.forEach((team, bucket) -> {
                RateLimit limit = limits.getOrDefault(team, RateLimit.NOTHING);
                double level = bucket.refill(bucket.limit().burst(), now);
                bucket.add(Math.max(0, part * firstLevel(limit) - level));
            });
        }
    }

    /**
     * Takes one request from the rate of a team.
     *
     * @param team The name of the team.
     * @param now The present monotonic time in nanoseconds.
     * @return 0 if it is admitted, else the time in milliseconds after which one is.
     */
    public long take(String team, long now) {
        TokenBucket bucket = buckets.get(team);
        if (bucket == null || bucket.take(1, now)) {
            return 0;
        }
        double missing = 1 - bucket.refill(bucket.limit().burst(), now);
        long nanos = bucket.limit().nanosFor(Math.max(missing, 0));
        return Math.max(1, Math.min(TimeUnit.NANOSECONDS.toMillis(nanos), TimeUnit.MINUTES.toMillis(1)));
    }

    /** Gives each bucket its part of its limit. */
    private void apply(long now) {
        limits.forEach((team, limit) -> {
            RateLimit scaled = limit.scaled(part);
            RateLimit own = RateLimit.of(scaled.perSecond(), Math.max(1, scaled.burst()));
            buckets.computeIfAbsent(team, name -> first(limit, own, now)).limit(own, now);
        });
    }

    /** Returns the bucket of a new team. */
    private TokenBucket first(RateLimit limit, RateLimit own, long now) {
        TokenBucket bucket = TokenBucket.empty(own, now);
        bucket.add(Math.min(own.burst(), part * firstLevel(limit)));
        return bucket;
    }

    /** Returns what may be admitted at once by an instance that does not know what others have admitted lately. */
    private static double firstLevel(RateLimit limit) {
        return Math.min(limit.burst(), FIRST_SECONDS * limit.perSecond() + FIRST_REQUESTS);
    }
}
