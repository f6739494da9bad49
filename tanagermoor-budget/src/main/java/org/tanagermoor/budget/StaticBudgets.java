package org.tanagermoor.budget;

import io.vavr.control.Either;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.policy.budget.StaticShares;
import org.tanagermoor.policy.configuration.Configuration;
import reactor.core.publisher.Mono;

/** Budgets of which each instance has an equal, fixed share. */
final class StaticBudgets implements Budgets {

    private final Membership membership;

    private final TimeSource time;

    /** The shares of this instance. Guarded by its own monitor. */
    private final StaticShares shares;

    StaticBudgets(Membership membership, TimeSource time) {
        this.membership = membership;
        this.time = time;
        shares = StaticShares.of(membership.self().id());
        membership.onAdopted(this::adopt);
    }

    /** {@inheritDoc} */
    @Override
    public Mono<Either<Failure, Double>> take(String budget, double amount, long deadline) {
        return Mono.fromSupplier(() -> takeNow(budget, amount));
    }

    /** Takes an amount from the share of this instance without waiting. */
    private Either<Failure, Double> takeNow(String budget, double amount) {
        synchronized (shares) {
            long now = time.nanos();
            if (!membership.standing(now).serves()) {
                return Either.left(Refusals.noStanding());
            }
            if (membership.viewAccepted(now)) {
                shares.accept(now);
            }
            return shares.take(budget, amount, now) ? Either.right(amount) : Either.left(Refusals.usedUp(budget));
        }
    }

    private void adopt(Configuration configuration) {
        synchronized (shares) {
            shares.adopt(configuration, time.nanos());
        }
    }
}
