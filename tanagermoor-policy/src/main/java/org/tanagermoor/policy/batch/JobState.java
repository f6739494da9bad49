package org.tanagermoor.policy.batch;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.tanagermoor.policy.fleet.InstanceId;

/**
 * The state of a batch job at its steward, the instance that decides which worker runs which items. Each item without a
 * recorded outcome is in exactly one place: in a pending chunk, in a lease, or in an entry that is being recorded.
 * Immutable.
 *
 * @param pending The chunks that are waiting to be lent, by their first item.
 * @param leases The chunks that are lent, by the identity of the lease.
 * @param nextLease The identity of the next lease.
 * @param lendFrom The monotonic time in nanoseconds from which chunks are lent; by then the leases of an earlier
 *     steward must have lapsed.
 * @param cancelled Whether the job was cancelled.
 * @param remaining The number of items without a recorded outcome.
 * @param outcomes The number of items by recorded outcome.
 */
public record JobState(
        SortedMap<Integer, Chunk> pending,
        SortedMap<Long, ChunkLease> leases,
        long nextLease,
        long lendFrom,
        boolean cancelled,
        int remaining,
        Outcomes outcomes) {

    /**
     * The number of bits that count the leases of one epoch, so that all leases of an epoch are below those of the
     * next.
     */
    private static final int EPOCH_SHIFT = 32;

    /**
     * Returns the state of a job at a steward that takes it over.
     *
     * @param epoch The epoch of the steward, above that of all earlier stewards.
     * @param initialChunks The chunks into which the job was split when it was accepted.
     * @param recorded The entries that are recorded so far, in order.
     * @param lendFrom The monotonic time in nanoseconds from which chunks may be lent.
     */
    public static JobState of(long epoch, List<ItemSet> initialChunks, List<Progress> recorded, long lendFrom) {
        SortedMap<Integer, Chunk> pending = TreeMap.empty();
        int items = 0;
        for (ItemSet chunkItems : initialChunks) {
            pending = pending.put(chunkItems.first(), Chunk.of(chunkItems));
            items += chunkItems.size();
        }
        JobState state =
                new JobState(pending, TreeMap.empty(), epoch << EPOCH_SHIFT, lendFrom, false, items, Outcomes.NONE);
        for (Progress entry : recorded) {
            state = state.replay(entry);
        }
        return state;
    }

    /**
     * Lends a chunk to a worker.
     *
     * @param worker The instance that asks for a chunk.
     * @param now The current monotonic time in nanoseconds.
     * @param expiry The monotonic time in nanoseconds at which the lease lapses.
     * @return The state with the new lease, which has the largest identity, or empty if no chunk may be lent.
     */
    public Option<JobState> lend(InstanceId worker, long now, long expiry) {
        if (cancelled || now - lendFrom < 0) {
            return Option.none();
        }
        boolean suspectLent = leases.values().exists(lease -> lease.chunk().suspect());
        Option<Chunk> next = suspectLent ? Option.none() : pending.values().find(Chunk::suspect);
        return next.orElse(() -> pending.values().find(chunk -> !chunk.suspect()))
                .map(chunk -> withLease(new ChunkLease(nextLease, worker, chunk, expiry)));
    }

    /**
     * Returns whether a chunk may be lent.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public boolean lendable(long now) {
        if (cancelled || now - lendFrom < 0 || pending.isEmpty()) {
            return false;
        }
        return pending.values().exists(chunk -> !chunk.suspect())
                || !leases.values().exists(lease -> lease.chunk().suspect());
    }

    /**
     * Renews a lease.
     *
     * @param id The identity of the lease.
     * @param worker The instance that asks for the renewal.
     * @param expiry The new monotonic time in nanoseconds at which the lease lapses.
     * @return The state, or empty if the instance does not have the lease or the job was cancelled.
     */
    public Option<JobState> renew(long id, InstanceId worker, long expiry) {
        return leases.get(id)
                .filter(lease -> !cancelled && lease.worker().equals(worker))
                .map(lease -> withLeases(leases.put(id, lease.withExpiry(expiry))));
    }

    /**
     * Applies the report of a worker.
     *
     * @return The state and the entries to record, or empty if the report is refused: its items are lent again, have an
     *     outcome already, or belong to a cancelled job.
     */
    public Option<Step> report(ChunkReport report) {
        if (cancelled) {
            return Option.none();
        }
        return leases.get(report.lease()).fold(() -> applyLateReport(report), lease -> applyReport(lease, report));
    }

    /**
     * Ends the leases that have lapsed; their items become pending again, or are abandoned after too many losses.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The state and the entries to record.
     */
    public Step lapse(long now) {
        Step step = new Step(this, List.of());
        for (ChunkLease lease : leases.values().filter(candidate -> candidate.lapsed(now))) {
            JobState state = step.state().withLeases(step.state().leases.remove(lease.id()));
            step = cancelled
                    ? new Step(state, step.entries())
                    : step.then(state.handleLoss(lease.chunk(), lease.chunk().items(), LossCause.WORKER));
        }
        return step;
    }

    /**
     * Postpones the expiry of all leases after a pause of the steward in which it could not renew them.
     *
     * @param nanos The duration of the pause in nanoseconds.
     */
    public JobState extendLeases(long nanos) {
        return withLeases(leases.mapValues(lease -> lease.withExpiry(lease.expiry() + nanos)));
    }

    /** Cancels the job. Leases remain until their workers release them or they lapse. */
    public JobState cancel() {
        return new JobState(TreeMap.empty(), leases, nextLease, lendFrom, true, remaining, outcomes);
    }

    /**
     * Ends a lease that its worker released.
     *
     * @param id The identity of the lease.
     * @return The state, in which the items are pending again unless the job was cancelled.
     */
    public JobState drop(long id) {
        return leases.get(id)
                .map(lease -> {
                    JobState state = withLeases(leases.remove(id));
                    return cancelled ? state : state.withPending(lease.chunk());
                })
                .getOrElse(this);
    }

    /**
     * Returns whether the job was cancelled and no item of it can start any more.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public boolean stopped(long now) {
        return cancelled && leases.isEmpty() && now - lendFrom >= 0;
    }

    /** Returns the state after entries were recorded durably. */
    public JobState recorded(List<Progress> entries) {
        Outcomes sum = entries.stream().map(Progress::outcomes).reduce(Outcomes.NONE, Outcomes::plus);
        return new JobState(
                pending, leases, nextLease, lendFrom, cancelled, remaining - sum.total(), outcomes.plus(sum));
    }

    /** Returns whether every item has a recorded outcome. */
    public boolean finished() {
        return remaining == 0;
    }

    /**
     * Applies a report on a current lease.
     *
     * @return The state and the entries to record, or empty if the report names items that were not lent, or names an
     *     item twice.
     */
    private Option<Step> applyReport(ChunkLease lease, ChunkReport report) {
        ItemSet items = lease.chunk().items();
        ItemSet named = report.done().union(report.lost());
        if (!items.containsAll(named)
                || !report.done().intersection(report.lost()).isEmpty()) {
            return Option.none();
        }
        JobState state =
                withLeases(leases.remove(lease.id())).withPending(lease.chunk().withItems(items.minus(named)));
        Step step = new Step(state, List.<Progress>copyOf(report.completed().toJavaList()));
        return Option.some(
                report.lost().isEmpty()
                        ? step
                        : step.then(state.handleLoss(lease.chunk(), report.lost(), LossCause.TARGET)));
    }

    /**
     * Applies a report on a lease that lapsed or that an earlier steward granted. The report is as valid as any other
     * while all its items are pending.
     *
     * @return The state and the entries to record, or empty if the report is refused.
     */
    private Option<Step> applyLateReport(ChunkReport report) {
        ItemSet done = report.done();
        ItemSet found = ItemSet.EMPTY;
        JobState state = this;
        for (Chunk chunk : pending.values()) {
            ItemSet common = chunk.items().intersection(done);
            if (!common.isEmpty()) {
                found = found.union(common);
                state = state.withoutPending(chunk)
                        .withPending(chunk.withItems(chunk.items().minus(common)));
            }
        }
        return done.isEmpty() || !found.equals(done)
                ? Option.none()
                : Option.some(
                        new Step(state, List.<Progress>copyOf(report.completed().toJavaList())));
    }

    /**
     * Handles the loss of the target or worker that ran items. The items must no longer be lent or pending.
     *
     * @param chunk The chunk to which the items belonged.
     * @param cause Whether a target or a worker was lost.
     * @return The state and the entries to record. The state has the items in two halves as pending chunks, so that
     *     repeated losses isolate the item that causes them.
     */
    private Step handleLoss(Chunk chunk, ItemSet items, LossCause cause) {
        Progress loss = new Progress.Lost(items, cause);
        Chunk next = chunk.withLoss(cause).withItems(items);
        if (next.exhausted(cause)) {
            return new Step(this, List.of(loss, new Progress.Abandoned(items, cause.reason())));
        }
        JobState state = this;
        for (ItemSet half : items.halves()) {
            state = state.withPending(next.withItems(half));
        }
        return new Step(state, List.of(loss));
    }

    /** Applies a recorded entry to a state without leases. */
    private JobState replay(Progress entry) {
        JobState state = this;
        for (Chunk chunk : pending.values()) {
            ItemSet common = chunk.items().intersection(entry.items());
            if (common.isEmpty()) {
                continue;
            }
            state = state.withoutPending(chunk)
                    .withPending(chunk.withItems(chunk.items().minus(common)));
            if (entry instanceof Progress.Lost loss) {
                state = state.handleLoss(chunk, common, loss.cause()).state();
            }
        }
        return state.recorded(List.of(entry));
    }

    /** Returns this state with a lease of a chunk that was pending. */
    private JobState withLease(ChunkLease lease) {
        JobState state = withoutPending(lease.chunk()).withLeases(leases.put(lease.id(), lease));
        return new JobState(state.pending, state.leases, nextLease + 1, lendFrom, cancelled, remaining, outcomes);
    }

    private JobState withLeases(SortedMap<Long, ChunkLease> value) {
        return new JobState(pending, value, nextLease, lendFrom, cancelled, remaining, outcomes);
    }

    /** Returns this state with a pending chunk added; a chunk without items is ignored. */
    private JobState withPending(Chunk chunk) {
        if (chunk.items().isEmpty()) {
            return this;
        }
        return new JobState(
                pending.put(chunk.items().first(), chunk), leases, nextLease, lendFrom, cancelled, remaining, outcomes);
    }

    private JobState withoutPending(Chunk chunk) {
        return new JobState(
                pending.remove(chunk.items().first()), leases, nextLease, lendFrom, cancelled, remaining, outcomes);
    }

    /**
     * A new state with the entries that must be recorded before the state takes effect.
     *
     * @param state The state after the operation.
     * @param entries The entries to record, in order.
     */
    public record Step(JobState state, List<Progress> entries) {

        /** Returns a step with the entries of this one and of the next, which starts from the state of this one. */
        private Step then(Step next) {
            List<Progress> all = new ArrayList<>(entries);
            all.addAll(next.entries);
            return new Step(next.state, List.copyOf(all));
        }
    }
}
