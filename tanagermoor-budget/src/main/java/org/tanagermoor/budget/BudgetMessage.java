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

/** A message in the queue of {@link BudgetDuty}. The names of the records are logged when a message is dropped. */
sealed interface BudgetMessage {

    /** A request of this instance takes an amount from a budget. */
    record Take(PendingTake pending) implements BudgetMessage {}

    /** A request of this instance was cancelled and no longer waits. */
    record Cancel(PendingTake pending) implements BudgetMessage {}

    /** This instance adopted a configuration. */
    record Adopt(Configuration configuration) implements BudgetMessage {}

    /**
     * An instance requests shares from this one as their steward.
     *
     * @param sink Receives the encoded response.
     */
    record Ask(InstanceId from, LoanRequest ask, MonoSink<Either<Failure, byte[]>> sink) implements BudgetMessage {}

    /**
     * A steward answered a request for shares, or failed to do so in time.
     *
     * @param answer The response; where none arrived, one that lends nothing.
     */
    record Answer(InstanceId steward, LoanResponse answer) implements BudgetMessage {}

    /**
     * A new steward asks which shares this instance holds.
     *
     * @param from The steward.
     * @param viewVersion The version of the view of the steward.
     * @param sink Receives the encoded response.
     */
    record AskHoldings(InstanceId from, long viewVersion, MonoSink<Either<Failure, byte[]>> sink)
            implements BudgetMessage {}

    /**
     * A member reported which shares it holds.
     *
     * @param viewVersion The version of the view for which the member was asked.
     */
    record Holdings(InstanceId from, long viewVersion, List<Holding> holdings) implements BudgetMessage {}
}
