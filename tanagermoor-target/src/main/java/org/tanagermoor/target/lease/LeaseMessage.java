package org.tanagermoor.target.lease;

import io.vavr.control.Either;
import java.util.List;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.target.LoadReport;
import org.tanagermoor.policy.target.PermitGrant;
import org.tanagermoor.policy.target.PermitReports;
import reactor.core.publisher.MonoSink;

/** A message to the duty that leases targets. */
sealed interface LeaseMessage {

    /**
     * A request asks for a permit.
     *
     * @param pending The request.
     */
    record Acquire(PendingLease pending) implements LeaseMessage {}

    /**
     * A request no longer waits.
     *
     * @param pending The request.
     */
    record Cancel(PendingLease pending) implements LeaseMessage {}

    /**
     * A permit is given back.
     *
     * @param lease The permit.
     * @param result How the request ended.
     */
    record Release(LocalLease lease, TargetLease.Result result) implements LeaseMessage {}

    /**
     * A target said something about itself.
     *
     * @param lease The permit with which it was asked.
     * @param startMark The start mark, or empty text.
     * @param firstTokenNanos The time to the first token in nanoseconds, or a negative number.
     */
    record Observe(LocalLease lease, String startMark, long firstTokenNanos) implements LeaseMessage {}

    /**
     * A configuration is adopted.
     *
     * @param configuration The configuration.
     */
    record Adopt(Configuration configuration) implements LeaseMessage {}

    /**
     * An instance reports to this one as a steward.
     *
     * @param from The instance.
     * @param ask Its message.
     * @param sink Takes the answer.
     */
    record Ask(InstanceId from, PermitReports ask, MonoSink<Either<Failure, byte[]>> sink) implements LeaseMessage {}

    /**
     * A steward answered.
     *
     * @param steward The steward.
     * @param sequence The number of the message that is answered.
     * @param grants The grants.
     */
    record Answer(InstanceId steward, long sequence, List<PermitGrant> grants) implements LeaseMessage {}

    /**
     * A steward recalls permits.
     *
     * @param steward The steward.
     * @param grants The lowered grants.
     */
    record Recall(InstanceId steward, List<PermitGrant> grants) implements LeaseMessage {}

    /**
     * A target reported its load.
     *
     * @param target The target.
     * @param load The report.
     * @param sampledAt The monotonic time at which it was made, in nanoseconds.
     */
    record Loaded(TargetId target, LoadReport load, long sampledAt) implements LeaseMessage {}

    /**
     * A target is to get no permits, or gets them again.
     *
     * @param target The target.
     * @param value Whether it is to get none.
     */
    record Withhold(TargetId target, boolean value) implements LeaseMessage {}
}
