package org.tanagermoor.batch.worker;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tanagermoor.batch.peer.BatchPeers;
import org.tanagermoor.batch.proto.Ask;
import org.tanagermoor.batch.proto.BatchRequest;
import org.tanagermoor.batch.proto.LeaseKey;
import org.tanagermoor.batch.proto.Renew;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;

/** Requests chunks from stewards and renews leases. Only for use by the thread of the duty. */
final class StewardCalls {

    /** Timeout of a request to a steward. */
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

    /** Interval before the next request for chunks after one without chunks, in nanoseconds. */
    private static final long ASK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Interval before the next request for chunks after no member had any, in nanoseconds. */
    private static final long IDLE_ASK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Number of renewals within the duration of a lease. */
    private static final int RENEWALS_PER_LEASE = 4;

    private final BatchPeers peers;

    /** Receives the answers. */
    private final Consumer<WorkerMessage> messages;

    private final StewardRotation rotation = new StewardRotation();

    /** Interval between two renewals in nanoseconds. */
    private final long renewalIntervalNanos;

    /** Whether a request for chunks is in progress. At most one is. */
    private boolean asking;

    /** Monotonic time in nanoseconds from which the next request for chunks may be sent. */
    private long nextAskAt;

    /** Monotonic time in nanoseconds from which leases are renewed next. */
    private long nextRenewalAt;

    /**
     * Creates the calls of one worker.
     *
     * @param peers Sends requests to the other instances.
     * @param messages Receives the answers.
     * @param lease The duration of the lease of a chunk.
     * @param now The current monotonic time in nanoseconds.
     */
    StewardCalls(BatchPeers peers, Consumer<WorkerMessage> messages, Duration lease, long now) {
        this.peers = peers;
        this.messages = messages;
        renewalIntervalNanos = lease.toNanos() / RENEWALS_PER_LEASE;
        nextAskAt = now;
        nextRenewalAt = now;
    }

    /**
     * Records that an instance may have chunks, and allows the next request at once.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    void hint(InstanceId steward, long now) {
        rotation.hint(steward);
        nextAskAt = now;
    }

    /**
     * Requests chunks from a steward, unless a request is in progress or it is too early.
     *
     * @param items The maximum number of items to lend.
     * @param now The current monotonic time in nanoseconds.
     */
    void ask(int items, long now) {
        if (asking || now - nextAskAt < 0) {
            return;
        }
        rotation.next(peers.members()).ifPresent(member -> {
            asking = true;
            BatchRequest request = BatchRequest.newBuilder()
                    .setAsk(Ask.newBuilder().setItems(items))
                    .build();
            peers.call(member, request, CALL_TIMEOUT)
                    .subscribe(result -> messages.accept(new WorkerMessage.Lent(member, now, result)));
        });
    }

    /**
     * Processes the answer to a request for chunks.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    void answered(WorkerMessage.Lent message, long now) {
        asking = false;
        boolean lent = message.result().isRight() && message.result().get().getChunksCount() > 0;
        rotation.answered(message.steward().id(), lent);
        long pause = rotation.idle(peers.members()) ? IDLE_ASK_INTERVAL_NANOS : ASK_INTERVAL_NANOS;
        nextAskAt = lent ? now : now + pause;
    }

    /**
     * Renews the leases of chunks, if the interval has passed. Expired leases are left out.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    void renew(Collection<ChunkRun> runs, long now) {
        if (now - nextRenewalAt < 0) {
            return;
        }
        nextRenewalAt = now + renewalIntervalNanos;
        Map<Member, List<LeaseKey>> leases = new HashMap<>();
        for (ChunkRun run : runs) {
            if (!run.expired(now)) {
                leases.computeIfAbsent(run.steward(), member -> new ArrayList<>())
                        .add(run.chunk().getLease());
            }
        }
        leases.forEach((member, keys) -> {
            BatchRequest request = BatchRequest.newBuilder()
                    .setRenew(Renew.newBuilder().addAllLeases(keys))
                    .build();
            peers.call(member, request, CALL_TIMEOUT)
                    .subscribe(result -> messages.accept(new WorkerMessage.Renewed(now, keys, result)));
        });
    }

    /** Returns an answer which states that a request was carried out. */
    static Either<org.tanagermoor.kernel.failure.Failure, org.tanagermoor.batch.proto.BatchAnswer> done() {
        return Either.right(org.tanagermoor.batch.proto.BatchAnswer.newBuilder()
                .setDone(true)
                .build());
    }
}
