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

/** A message to the duty of the worker. */
sealed interface WorkerMessage {

    /**
     * A steward may have chunks.
     *
     * @param steward The steward.
     */
    record Hinted(InstanceId steward) implements WorkerMessage {}

    /**
     * A steward answered to an ask.
     *
     * @param steward The steward.
     * @param requestedAt When it was asked, as monotonic time in nanoseconds.
     * @param result The chunks.
     */
    record Lent(Member steward, long requestedAt, Either<Failure, BatchAnswer> result) implements WorkerMessage {}

    /**
     * A steward answered to a renewal.
     *
     * @param requestedAt When it was asked, as monotonic time in nanoseconds.
     * @param requested The leases that were to be renewed.
     * @param result The leases that are renewed.
     */
    record Renewed(long requestedAt, List<LeaseKey> requested, Either<Failure, BatchAnswer> result)
            implements WorkerMessage {}

    /**
     * The items of a chunk were read.
     *
     * @param run The chunk.
     * @param result The object that holds the items.
     */
    record ItemsRead(ChunkRun run, Either<Failure, byte[]> result) implements WorkerMessage {}

    /**
     * The marks of a cell were read.
     *
     * @param run The chunk.
     * @param result The marks.
     */
    record StartsRead(ChunkRun run, Either<Failure, ProgressStore.Starts> result) implements WorkerMessage {}

    /**
     * Items were marked as started, or not.
     *
     * @param run The chunk.
     * @param items The items.
     * @param result The marks; nothing if they or the row of the job were changed.
     */
    record Marked(ChunkRun run, List<Integer> items, Either<Failure, Optional<ProgressStore.Starts>> result)
            implements WorkerMessage {}

    /**
     * A run of an item ended.
     *
     * @param run The chunk.
     * @param index The index of the item.
     * @param end How it ended.
     */
    record Ended(ChunkRun run, int index, ItemEnd end) implements WorkerMessage {}

    /**
     * A result object was put, or not.
     *
     * @param run The chunk.
     * @param result The name of the object.
     */
    record Stored(ChunkRun run, Either<Failure, String> result) implements WorkerMessage {}

    /**
     * A steward answered to a report.
     *
     * @param run The chunk.
     * @param result Whether it is recorded.
     */
    record Reported(ChunkRun run, Either<Failure, BatchAnswer> result) implements WorkerMessage {}

    /**
     * A steward takes a lease back.
     *
     * @param lease The lease.
     * @param answer Takes the answer once no item of the chunk can start.
     */
    record Revoked(LeaseKey lease, MonoSink<Either<Failure, BatchAnswer>> answer) implements WorkerMessage {}
}
