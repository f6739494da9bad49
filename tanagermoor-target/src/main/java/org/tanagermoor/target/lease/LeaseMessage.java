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

/** A message in the queue of {@link LeaseDuty}. */
sealed interface LeaseMessage {

    /** A request of this instance asks for a permit. */
    record Acquire(PendingLease pending) implements LeaseMessage {}

    /** A request of this instance was cancelled and no longer waits. */
    record Cancel(PendingLease pending) implements LeaseMessage {}

    /**
     * A permit was released.
     *
     * @param result How the request ended.
     */
    record Release(LocalLease lease, TargetLease.Result result) implements LeaseMessage {}

    /**
     * A target reported something about itself with an answer.
     *
     * @param lease The permit with which the request was sent.
     * @param startMark The start mark of the target, or an empty string.
     * @param firstTokenNanos The time to the first token in nanoseconds, or a negative number if it is unknown.
     */
    record Observe(LocalLease lease, String startMark, long firstTokenNanos) implements LeaseMessage {}

    /** This instance adopted a configuration. */
    record Adopt(Configuration configuration) implements LeaseMessage {}

    /**
     * An instance reports its demand to this one as a steward.
     *
     * @param sink Receives the encoded response.
     */
    record Ask(InstanceId from, PermitReports ask, MonoSink<Either<Failure, byte[]>> sink) implements LeaseMessage {}

    /**
     * A steward answered a report of this instance.
     *
     * @param sequence The sequence number of the report.
     * @param grants The permits that are lent.
     */
    record Answer(InstanceId steward, long sequence, List<PermitGrant> grants) implements LeaseMessage {}

    /**
     * A steward recalls permits from this instance.
     *
     * @param grants The lowered grants.
     */
    record Recall(InstanceId steward, List<PermitGrant> grants) implements LeaseMessage {}

    /**
     * A target reported its load.
     *
     * @param sampledAt The monotonic time in nanoseconds at which the load was sampled.
     */
    record Loaded(TargetId target, LoadReport load, long sampledAt) implements LeaseMessage {}

    /**
     * The permits of a target are to be withheld, or lent again.
     *
     * @param value Whether to withhold them.
     */
    record Withhold(TargetId target, boolean value) implements LeaseMessage {}
}
