package org.tanagermoor.gateway.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.tanagermoor.policy.target.VirtualTimes;

/**
 * The order of queued online requests by fair shares of their teams. Designed for a team that sends several times its
 * usual rate while the others do not: each team is served in proportion to its rate limit and its priority while
 * requests wait, and what teams do not use goes to those that ask for more. Not thread-safe.
 */
final class FairOrder {

    /** The rank from which a lower priority makes no further difference. */
    private static final int LOWEST_RANK = 2;

    /** How much sooner a caller that came back after a refusal is served, in requests of its team. */
    private static final double RETURNING_REQUESTS = 1;

    /** The number of requests of a team that come at once and are served as if they had come evenly. */
    private static final double BURST_REQUESTS = 4;

    /**
     * The minimum rate by which a team is weighed, per second. A configured rate may be 0; its cost would be infinite,
     * and the virtual time would no longer be a number.
     */
    private static final double MIN_RATE = 0.01;

    /** The maximum number of teams whose rates are remembered. */
    private static final int MAX_TEAMS = 4_096;

    private final VirtualTimes<String> times = VirtualTimes.ofBurst(BURST_REQUESTS);

    /** Returns the rate of a team that is configured, or the mean rate if it has none. */
    private final ToDoubleFunction<String> rates;

    /** The rates by which the teams were weighed last. */
    private final Map<String, Double> lastRates = new HashMap<>();

    FairOrder(ToDoubleFunction<String> rates) {
        this.rates = rates;
    }

    /** Adds an ask, and returns its position in virtual time; lower positions are served first. */
    double add(Ask ask) {
        applyRate(ask.team());
        return times.add(ask.team(), cost(ask)) - bonus(ask);
    }

    /** Returns the position that an ask would get. */
    double position(Ask ask) {
        applyRate(ask.team());
        return times.start(ask.team(), cost(ask)) - bonus(ask);
    }

    /** Records that an ask with a position is granted a place. */
    void served(Ask ask, double position) {
        times.served(position + bonus(ask));
    }

    /**
     * Records that an ask is not granted a place.
     *
     * @return By how much the positions of the later asks of its team decrease.
     */
    double withdrawn(Ask ask) {
        times.regained(ask.team(), cost(ask));
        return cost(ask);
    }

    /** Charges a team whose rate has changed for its earlier asks by the new rate. */
    private void applyRate(String team) {
        double rate = rate(team);
        Double last = lastRates.put(team, rate);
        if (last != null && last != rate) {
            times.rescaled(team, last / rate);
        }
        if (lastRates.size() > MAX_TEAMS) {
            lastRates.clear();
        }
    }

    private double rate(String team) {
        return Math.max(MIN_RATE, rates.applyAsDouble(team));
    }

    private double cost(Ask ask) {
        int rank = Math.min(LOWEST_RANK, Math.max(0, ask.traits().priority().orElse(0)));
        return (1 << rank) / rate(ask.team());
    }

    private double bonus(Ask ask) {
        return ask.returning() ? RETURNING_REQUESTS * cost(ask) : 0;
    }
}
