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

/** Asks stewards for chunks and renews leases. Used by the thread of the duty only. */
final class StewardCalls {

    /** The longest time to wait for an answer. */
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

    /** The interval of asks after one that brought nothing, in nanoseconds. */
    private static final long ASK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** The interval of asks after all members had nothing, in nanoseconds. */
    private static final long IDLE_ASK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** The renewals within the duration of a lease. */
    private static final int RENEWALS_PER_LEASE = 4;

    /** The instances. */
    private final BatchPeers peers;

    /** Takes the answers. */
    private final Consumer<WorkerMessage> messages;

    /** Chooses the steward that is asked next. */
    private final StewardRotation rotation = new StewardRotation();

    /** The interval of the renewals in nanoseconds. */
    private final long renewalIntervalNanos;

    /** Whether an ask is under way. */
    private boolean asking;

    /** The monotonic time in nanoseconds from which to ask. */
    private long nextAskAt;

    /** The monotonic time in nanoseconds from which to renew. */
    private long nextRenewalAt;

    /**
     * Creates the calls.
     *
     * @param peers The instances.
     * @param messages Takes the answers.
     * @param lease The duration of leases.
     * @param now The present monotonic time in nanoseconds.
     */
    StewardCalls(BatchPeers peers, Consumer<WorkerMessage> messages, Duration lease, long now) {
        this.peers = peers;
        this.messages = messages;
        renewalIntervalNanos = lease.toNanos() / RENEWALS_PER_LEASE;
        nextAskAt = now;
        nextRenewalAt = now;
    }

    /**
     * Takes in that a steward may have chunks.
     *
     * @param steward The steward.
     * @param now The present monotonic time in nanoseconds.
     */
    void hint(InstanceId steward, long now) {
        rotation.hint(steward);
        nextAskAt = now;
    }

    /**
     * Asks a steward for chunks, unless an ask is under way or it is too early.
     *
     * @param items The most items that are wanted.
     * @param now The present monotonic time in nanoseconds.
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
     * Takes in an answer to an ask.
     *
     * @param message The answer.
     * @param now The present monotonic time in nanoseconds.
     */
    void answered(WorkerMessage.Lent message, long now) {
        asking = false;
        boolean lent = message.result().isRight() && message.result().get().getChunksCount() > 0;
        rotation.answered(message.steward().id(), lent);
        long pause = rotation.idle(peers.members()) ? IDLE_ASK_INTERVAL_NANOS : ASK_INTERVAL_NANOS;
        nextAskAt = lent ? now : now + pause;
    }

    /**
     * Renews the leases of chunks, if it is time.
     *
     * @param runs The chunks.
     * @param now The present monotonic time in nanoseconds.
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

    /**
     * Returns an answer that says that something was done.
     *
     * @return The answer.
     */
    static Either<org.tanagermoor.kernel.failure.Failure, org.tanagermoor.batch.proto.BatchAnswer> done() {
        return Either.right(org.tanagermoor.batch.proto.BatchAnswer.newBuilder()
                .setDone(true)
                .build());
    }
}
