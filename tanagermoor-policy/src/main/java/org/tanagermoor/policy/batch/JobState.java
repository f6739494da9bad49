package org.tanagermoor.policy.batch;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.tanagermoor.policy.fleet.InstanceId;

/**
 * The state of a job at its steward. Each item that has no recorded outcome is in exactly one place: in a pending
 * chunk, in a lease, or in an entry that is being recorded.
 *
 * @param pending The chunks that wait to be lent, by their first item.
 * @param leases The chunks that are lent, by the identity of the lease.
 * @param nextLease The identity of the next lease.
 * @param lendFrom The monotonic time in nanoseconds from which chunks are lent, as what an earlier steward lent must
 *     have lapsed.
 * @param cancelled Whether the job was cancelled.
 * @param remaining The items without a recorded outcome.
 * @param outcomes The items with a recorded outcome.
 */
public record JobState(
        SortedMap<Integer, Chunk> pending,
        SortedMap<Long, ChunkLease> leases,
        long nextLease,
        long lendFrom,
        boolean cancelled,
        int remaining,
        Outcomes outcomes) {

    /** The leases of one epoch are below those of the next; this is the number of bits for the leases of an epoch. */
    private static final int EPOCH_SHIFT = 32;

    /**
     * Returns the state of a job at a steward that takes it over.
     *
     * @param epoch The epoch of the steward, above that of all before it.
     * @param cells The chunks into which the job was cut when it was accepted.
     * @param recorded What was recorded so far, in order.
     * @param lendFrom The monotonic time in nanoseconds from which chunks may be lent.
     */
    public static JobState of(long epoch, List<ItemSet> cells, List<Progress> recorded, long lendFrom) {
        SortedMap<Integer, Chunk> pending = TreeMap.empty();
        int items = 0;
        for (ItemSet cell : cells) {
            pending = pending.put(cell.first(), Chunk.of(cell));
            items += cell.size();
        }
        JobState state =
                new JobState(pending, TreeMap.empty(), epoch << EPOCH_SHIFT, lendFrom, false, items, Outcomes.NONE);
        for (Progress entry : recorded) {
            state = state.replay(entry);
        }
        return state;
    }

    /**
     * Lends a chunk.
     *
     * @param worker The instance that asks.
     * @param now The current monotonic time in nanoseconds.
     * @param expiry The monotonic time in nanoseconds at which the lease lapses.
     * @return The state with the new lease, whose identity is the largest, or nothing if no chunk may be lent.
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
     * @param worker The instance that asks.
     * @param expiry The monotonic time in nanoseconds at which the lease now lapses.
     * @return The state, or nothing if the instance does not hold the lease or the job was cancelled.
     */
    public Option<JobState> renew(long id, InstanceId worker, long expiry) {
        return leases.get(id)
                .filter(lease -> !cancelled && lease.worker().equals(worker))
                .map(lease -> withLeases(leases.put(id, lease.withExpiry(expiry))));
    }

    /**
     * Takes a report in.
     *
     * @return The state and the entries to record, or nothing if the report is refused: its items are lent again, have
     *     an outcome already, or belong to a cancelled job.
     */
    public Option<Step> report(ChunkReport report) {
        if (cancelled) {
            return Option.none();
        }
        return leases.get(report.lease()).fold(() -> adopt(report), lease -> settle(lease, report));
    }

    /**
     * Takes back the leases that have lapsed.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The state and the entries to record.
     */
    public Step lapse(long now) {
        Step step = new Step(this, List.of());
        for (ChunkLease lease : leases.values().filter(held -> held.lapsed(now))) {
            JobState state = step.state().withLeases(step.state().leases.remove(lease.id()));
            step = cancelled
                    ? new Step(state, step.entries())
                    : step.then(state.lose(lease.chunk(), lease.chunk().items(), LossCause.WORKER));
        }
        return step;
    }

    /**
     * Postpones the lapsing of all leases, after the steward itself was paused and could not renew them.
     *
     * @param nanos The duration of the pause in nanoseconds.
     */
    public JobState extendLeases(long nanos) {
        return withLeases(leases.mapValues(lease -> lease.withExpiry(lease.expiry() + nanos)));
    }

    /** Cancels the job. What is lent counts until it is dropped or lapses. */
    public JobState cancel() {
        return new JobState(TreeMap.empty(), leases, nextLease, lendFrom, true, remaining, outcomes);
    }

    /**
     * Drops a lease that its worker gave up.
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
     * Returns whether no item of the cancelled job can start any more.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public boolean stopped(long now) {
        return cancelled && leases.isEmpty() && now - lendFrom >= 0;
    }

    /** Takes in that entries are durable. */
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
     * Takes in a report of a lease that is held.
     *
     * @return The state and the entries to record, or nothing if the report names items that were not lent.
     */
    private Option<Step> settle(ChunkLease lease, ChunkReport report) {
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
                report.lost().isEmpty() ? step : step.then(state.lose(lease.chunk(), report.lost(), LossCause.TARGET)));
    }

    /**
     * Takes in a report of a lease that lapsed, or that an earlier steward lent. It is as good as any other while its
     * items are pending.
     *
     * @return The state and the entries to record, or nothing if the report is refused.
     */
    private Option<Step> adopt(ChunkReport report) {
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
     * Handles the loss of a target or worker under items that are no longer lent or pending.
     *
     * @param chunk The chunk to which the items belonged.
     * @param cause What was lost.
     * @return The state and the entries to record.
     */
    private Step lose(Chunk chunk, ItemSet items, LossCause cause) {
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
                state = state.lose(chunk, common, loss.cause()).state();
            }
        }
        return state.recorded(List.of(entry));
    }

    /** Returns this state with a lease of a pending chunk. */
    private JobState withLease(ChunkLease lease) {
        JobState state = withoutPending(lease.chunk()).withLeases(leases.put(lease.id(), lease));
        return new JobState(state.pending, state.leases, nextLease + 1, lendFrom, cancelled, remaining, outcomes);
    }

    private JobState withLeases(SortedMap<Long, ChunkLease> value) {
        return new JobState(pending, value, nextLease, lendFrom, cancelled, remaining, outcomes);
    }

    /**
     * Returns this state with a chunk pending.
     *
     * @param chunk The chunk; one without items is left out.
     */
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
     * A state, and what is to be recorded before it counts.
     *
     * @param state The state.
     * @param entries The entries to record, in order.
     */
    public record Step(JobState state, List<Progress> entries) {

        /**
         * Returns the step that follows this one.
         *
         * @param next A step from the state of this one.
         * @return A step with the entries of both.
         */
        private Step then(Step next) {
            List<Progress> all = new ArrayList<>(entries);
            all.addAll(next.entries);
            return new Step(next.state, List.copyOf(all));
        }
    }
}
