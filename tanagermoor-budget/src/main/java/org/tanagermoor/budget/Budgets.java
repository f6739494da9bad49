package org.tanagermoor.budget;

import io.vavr.control.Either;
import org.tanagermoor.kernel.failure.Failure;
import reactor.core.publisher.Mono;

/**
 * The rate budgets that this instance shares with all other instances. A budget limits the rate of one kind of work
 * over all instances. An instance takes amounts from its share of a budget.
 */
public interface Budgets {

    /**
     * Takes an amount from a budget. If no share is available, this waits for one until the deadline.
     *
     * @param budget The name of the budget, for example {@code team/alder} or {@code weights}.
     * @param amount The amount, above 0.
     * @param deadline The latest monotonic time in nanoseconds at which a result is of use.
     * @return The amount taken, or a failure: of kind {@link Failure.Kind#RATE_LIMITED} if the budget is used up, of
     *     kind {@link Failure.Kind#UNAVAILABLE} if no share was obtained in time, or of kind {@link
     *     Failure.Kind#NO_STANDING}. On failure nothing is taken.
     */
    Mono<Either<Failure, Double>> take(String budget, double amount, long deadline);

    /** Returns the name of the budget for a team's online requests. */
    static String ofTeam(String team) {
        return "team/" + team;
    }
}
