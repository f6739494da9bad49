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
 * Admits a fraction of the rate limit and burst of each team: as much as the shares make up that this instance has. Not
 * thread-safe.
 */
public final class TeamRates {

    /**
     * The duration whose share of the rate an instance admits at once for a part of its fraction, in seconds.
     * Together with {@link #INITIAL_REQUESTS} this stays within the amount by which a window of some seconds may exceed
     * the limit (a tenth and 20).
     */
    private static final double INITIAL_SECONDS = 0.5;

    /** The number of requests that are admitted at once in addition. */
    private static final double INITIAL_REQUESTS = 8;

    /** The time for which they may be admitted, in nanoseconds: until loans of shares to others have ended. */
    private static final long ADDITIONAL_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** The time after which a caller may retry while this instance may admit no part of any rate, in milliseconds. */
    private static final long NO_SHARE_RETRY_MILLIS = 500;

    /** The buckets of the teams with a limit, by name. */
    private final Map<String, TokenBucket> buckets = new HashMap<>();

    /** The complete limits of the teams with a limit, by name. */
    private final Map<String, RateLimit> limits = new HashMap<>();

    /** The requests that may be admitted in addition, by the name of the team. */
    private final Map<String, Double> additional = new HashMap<>();

    /** The monotonic time in nanoseconds until which they may. */
    private long additionalUntil;

    /** The mean of all configured rates per second; 1 if there are none. */
    private double meanRate = 1;

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
        additional.keySet().retainAll(limitedTeams);
        meanRate = limits.values().stream()
                .mapToDouble(RateLimit::perSecond)
                .average()
                .orElse(1);
        apply(now);
    }

    /** Returns the configured rate of a team per second, or the mean of all rates, or 1, if it has no limit. */
    double rate(String team) {
        RateLimit limit = limits.get(team);
        return limit == null ? meanRate : limit.perSecond();
    }

    /** Returns whether any team has a limit. */
    public boolean limited() {
        return !limits.isEmpty();
    }

    /** Returns the fraction of each limit that this instance may admit. */
    public double fraction() {
        return fraction;
    }

    /**
     * Changes the fraction of each limit that this instance may admit. The levels of the buckets do not increase with
     * it, since other instances may just have admitted a burst; instead a small amount may be admitted for the part of
     * the fraction that is fresh, soon and only once.
     *
     * @param value The fraction, from 0 to 1.
     * @param fresh The fraction for which no instance has admitted anything in addition recently, from 0 to 1.
     * @param now The current monotonic time in nanoseconds.
     */
    public void fraction(double value, double fresh, long now) {
        if (value != fraction) {
            fraction = value;
            apply(now);
        }
        if (now - additionalUntil >= 0) {
            additional.clear();
        }
        if (fresh > 0) {
            if (additional.isEmpty()) {
                additionalUntil = now + ADDITIONAL_NANOS;
            }
            limits.forEach((team, limit) -> additional.merge(team, fresh * initialAmount(limit), Double::sum));
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
        if (bucket == null || (fraction > 0 && bucket.take(1, now)) || takeAdditional(team, now)) {
            return 0;
        }
        if (fraction == 0) {
            return NO_SHARE_RETRY_MILLIS;
        }
        double missing = 1 - bucket.refill(bucket.limit().burst(), now);
        long nanos = bucket.limit().nanosFor(Math.max(missing, 0));
        return Math.max(1, Math.min(TimeUnit.NANOSECONDS.toMillis(nanos), TimeUnit.MINUTES.toMillis(1)));
    }

    /** Takes one of the requests that may be admitted in addition, if there is one. */
    private boolean takeAdditional(String team, long now) {
        double left = additional.getOrDefault(team, 0.0);
        if (left < 1 || now - additionalUntil >= 0) {
            return false;
        }
        additional.put(team, left - 1);
        return true;
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

    /** Returns the level of a bucket whose team is new. */
    private static double initialLevel(RateLimit limit) {
        return Math.min(limit.burst(), initialAmount(limit));
    }

    /** Returns what may be admitted at once by instances that do not know what others have admitted recently. */
    private static double initialAmount(RateLimit limit) {
        return INITIAL_SECONDS * limit.perSecond() + INITIAL_REQUESTS;
    }
}
