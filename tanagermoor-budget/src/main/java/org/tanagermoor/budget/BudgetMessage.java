package org.tanagermoor.budget;

import io.vavr.control.Either;
import java.util.List;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.budget.Holding;
import org.tanagermoor.policy.budget.LoanRequest;
import org.tanagermoor.policy.budget.LoanResponse;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.fleet.InstanceId;
import reactor.core.publisher.MonoSink;

/** A message to the duty that shares budgets. */
sealed interface BudgetMessage {

    /**
     * A request takes an amount.
     *
     * @param pending The request.
     */
    record Take(PendingTake pending) implements BudgetMessage {}

    /**
     * A request no longer waits.
     *
     * @param pending The request.
     */
    record Cancel(PendingTake pending) implements BudgetMessage {}

    /**
     * A configuration is adopted.
     *
     * @param configuration The configuration.
     */
    record Adopt(Configuration configuration) implements BudgetMessage {}

    /**
     * An instance asks for shares.
     *
     * @param from The instance.
     * @param ask What it asks for.
     * @param sink Takes the answer.
     */
    record Ask(InstanceId from, LoanRequest ask, MonoSink<Either<Failure, byte[]>> sink) implements BudgetMessage {}

    /**
     * A steward answered, or did not in time.
     *
     * @param steward The steward.
     * @param answer The answer.
     */
    record Answer(InstanceId steward, LoanResponse answer) implements BudgetMessage {}

    /**
     * A new steward asks what this instance holds.
     *
     * @param from The steward.
     * @param viewVersion The version of the view.
     * @param sink Takes the answer.
     */
    record AskHoldings(InstanceId from, long viewVersion, MonoSink<Either<Failure, byte[]>> sink)
            implements BudgetMessage {}

    /**
     * A member told what it holds.
     *
     * @param from The member.
     * @param viewVersion The version of the view.
     * @param holdings What it holds.
     */
    record Holdings(InstanceId from, long viewVersion, List<Holding> holdings) implements BudgetMessage {}
}
