package org.tanagermoor.batch.worker;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.tanagermoor.batch.proto.BatchAnswer;
import org.tanagermoor.batch.proto.LeaseKey;
import org.tanagermoor.batch.store.ProgressStore;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import reactor.core.publisher.MonoSink;

/** A message to the duty (event loop) of the worker. */
sealed interface WorkerMessage {

    /**
     * An instance has signalled that it may, as steward of a job, have chunks to lend.
     *
     * @param steward The instance that may have chunks.
     */
    record Hinted(InstanceId steward) implements WorkerMessage {}

    /**
     * A steward has answered a request for chunks.
     *
     * @param steward The steward that has answered.
     * @param requestedAt The monotonic time of the request in nanoseconds.
     * @param result The lent chunks, or a failure.
     */
    record Lent(Member steward, long requestedAt, Either<Failure, BatchAnswer> result) implements WorkerMessage {}

    /**
     * A steward has answered a request to renew leases.
     *
     * @param requestedAt The monotonic time of the request in nanoseconds.
     * @param requested The leases that the request named.
     * @param result The leases that the steward has renewed, or a failure.
     */
    record Renewed(long requestedAt, List<LeaseKey> requested, Either<Failure, BatchAnswer> result)
            implements WorkerMessage {}

    /**
     * The read of a chunk's items has ended.
     *
     * @param run The chunk.
     * @param result The content of the object that holds the items, or a failure.
     */
    record ItemsRead(ChunkRun run, Either<Failure, byte[]> result) implements WorkerMessage {}

    /**
     * The read of the start marks of a chunk's cell has ended.
     *
     * @param run The chunk.
     * @param result The start marks, or a failure.
     */
    record StartsRead(ChunkRun run, Either<Failure, ProgressStore.Starts> result) implements WorkerMessage {}

    /**
     * The write that marks items as started has ended.
     *
     * @param run The chunk.
     * @param items The indexes of the items.
     * @param result The start marks as written; empty if the marks or the row of the job had been changed by another
     *     writer; or a failure.
     */
    record Marked(ChunkRun run, List<Integer> items, Either<Failure, Optional<ProgressStore.Starts>> result)
            implements WorkerMessage {}

    /**
     * A run of an item has ended.
     *
     * @param run The chunk.
     * @param index The index of the item.
     * @param end How the run ended.
     */
    record Ended(ChunkRun run, int index, ItemEnd end) implements WorkerMessage {}

    /**
     * The write of a result object has ended.
     *
     * @param run The chunk.
     * @param result The name of the object, or a failure.
     */
    record Stored(ChunkRun run, Either<Failure, String> result) implements WorkerMessage {}

    /**
     * A steward has answered a report.
     *
     * @param run The chunk.
     * @param result The answer of the steward once the report is recorded, or a failure.
     */
    record Reported(ChunkRun run, Either<Failure, BatchAnswer> result) implements WorkerMessage {}

    /**
     * A steward revokes a lease.
     *
     * @param lease The lease to revoke.
     * @param answer Receives the answer once no item of the chunk can start any more.
     */
    record Revoked(LeaseKey lease, MonoSink<Either<Failure, BatchAnswer>> answer) implements WorkerMessage {}
}
