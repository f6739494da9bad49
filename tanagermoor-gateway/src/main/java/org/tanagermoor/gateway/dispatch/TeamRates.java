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

/**
 * Admits a fraction of the rate limit and burst of each team: all of it at the dispatcher, a part of it at other
 * instances. Not thread-safe.
 */
public final class TeamRates {

    /**
     * The duration whose share of the rate an instance admits at once after its fraction increased, in seconds.
     * Together with {@link #INITIAL_REQUESTS} this stays within the amount by which a window of some seconds may exceed
     * the limit (a tenth and 20).
     */
    private static final double INITIAL_SECONDS = 0.5;

    /** The number of requests that are admitted at once in addition. */
    private static final double INITIAL_REQUESTS = 8;

    /** The buckets of the teams with a limit, by name. */
    private final Map<String, TokenBucket> buckets = new HashMap<>();

    /** The complete limits of the teams with a limit, by name. */
    private final Map<String, RateLimit> limits = new HashMap<>();

    /** The fraction of each limit that this instance may admit. */
    private double fraction = 1;

    private TeamRates() {}

    /** Returns rates without teams. */
    public static TeamRates of() {
        return new TeamRates();
    }

    /**
     * Replaces the teams by those of a configuration. A new team starts with a small part of its burst.
     *
     * @param teams The teams, with and without a limit.
     * @param now The current monotonic time in nanoseconds.
     */
    public void teams(Collection<FleetTeam> teams, long now) {
        Set<String> limitedTeams = new HashSet<>();
        for (FleetTeam team : teams) {
            if (team.limited()) {
                limitedTeams.add(team.name());
                limits.put(team.name(), team.limit());
            }
        }
        limits.keySet().retainAll(limitedTeams);
        buckets.keySet().retainAll(limitedTeams);
        apply(now);
    }

    /**
     * Changes the fraction of each limit that this instance may admit. After an increase the buckets start with little,
     * since another instance may just have admitted a burst.
     *
     * @param value The fraction, from 0 to 1.
     * @param now The current monotonic time in nanoseconds.
     */
    public void fraction(double value, long now) {
        if (value == fraction) {
            return;
        }
        boolean increased = value > fraction;
        fraction = value;
        apply(now);
        if (increased) {
            buckets.forEach((team, bucket) -> {
                RateLimit limit = limits.getOrDefault(team, RateLimit.NOTHING);
                double level = bucket.refill(bucket.limit().burst(), now);
                bucket.add(Math.max(0, fraction * initialLevel(limit) - level));
            });
        }
    }

    /**
     * Charges one request to the rate limit of a team.
     *
     * @param team The name of the team; one without a limit is always admitted.
     * @param now The current monotonic time in nanoseconds.
     * @return 0 if the request is admitted, else the time in milliseconds after which one is.
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

    /** Applies the current fraction to the limit of each bucket. */
    private void apply(long now) {
        limits.forEach((team, limit) -> {
            RateLimit scaled = limit.scaled(fraction);
            RateLimit local = RateLimit.of(scaled.perSecond(), Math.max(1, scaled.burst()));
            buckets.computeIfAbsent(team, name -> initialBucket(limit, local, now))
                    .limit(local, now);
        });
    }

    /** Returns a bucket for a new team, filled to the initial level. */
    private TokenBucket initialBucket(RateLimit limit, RateLimit local, long now) {
        TokenBucket bucket = TokenBucket.empty(local, now);
        bucket.add(Math.min(local.burst(), fraction * initialLevel(limit)));
        return bucket;
    }

    /** Returns what may be admitted at once by an instance that does not know what others have admitted recently. */
    private static double initialLevel(RateLimit limit) {
        return Math.min(limit.burst(), INITIAL_SECONDS * limit.perSecond() + INITIAL_REQUESTS);
    }
}
