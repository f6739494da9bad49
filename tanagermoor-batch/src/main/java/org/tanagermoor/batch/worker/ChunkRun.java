package org.tanagermoor.batch.worker;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.tanagermoor.batch.item.Item;
import org.tanagermoor.batch.proto.ItemResult;
import org.tanagermoor.batch.proto.LentChunk;
import org.tanagermoor.batch.proto.StartRow;
import org.tanagermoor.batch.store.JobKey;
import org.tanagermoor.batch.store.ProgressStore;
import org.tanagermoor.batch.store.Protos;
import org.tanagermoor.policy.batch.ItemSet;
import org.tanagermoor.policy.configuration.Service;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.fleet.TeamId;
import reactor.core.publisher.Sinks;

/**
 * A chunk of items that was lent to this instance, with the state of each item. Only for use by the thread of the duty,
 * except for the expiry and the gate, which are thread-safe.
 */
final class ChunkRun {

    /** Number of errors that may be temporary after which an item has failed. */
    private static final int MAX_REJECTIONS = 3;

    private final LentChunk chunk;

    /** Steward that has lent the chunk. */
    private final Member steward;

    /** Decides right before the start whether an item may still start. */
    private final StartGate gate;

    /** Completes when the running items have to be cancelled. */
    private final Sinks.One<Boolean> cancelled = Sinks.one();

    private final Map<Integer, Item> items = new TreeMap<>();

    /** Indexes of the items that may start, in the order of their starts. */
    private final Deque<Integer> ready = new ArrayDeque<>();

    /** Indexes of the items that must not be repeated and are not yet marked as started. */
    private final Deque<Integer> unmarked = new ArrayDeque<>();

    /** Indexes of the items that run or wait for a permit. */
    private final Set<Integer> running = new HashSet<>();

    /** Outcomes of the items. */
    private final ChunkResults results = new ChunkResults();

    /** Pause after items were returned without an outcome. */
    private final Backoff backoff;

    /** Number of errors that may be temporary, by index. */
    private final Map<Integer, Integer> rejections = new HashMap<>();

    /** Target that the next run of an item should avoid, by index. */
    private final Map<Integer, TargetId> avoided = new HashMap<>();

    /** Partial answers of items that were cancelled, by index. */
    private final Map<Integer, PartialAnswer> partials = new HashMap<>();

    /** Start marks of the cell to which the chunk belongs. */
    private ProgressStore.Starts starts = new ProgressStore.Starts(StartRow.getDefaultInstance(), 0);

    /** Monotonic time in nanoseconds at which the lease expires. */
    private volatile long expiry;

    /** Monotonic time in nanoseconds from which the next call may be made. */
    private long nextCallAt;

    /** Monotonic time in nanoseconds at which an item last got an outcome; at first that of the creation. */
    private long lastProgressAt;

    private Stage stage = Stage.LOADING;

    /** Whether no more items may start. */
    private boolean closed;

    /** Whether a call to the platform or the steward is in progress. */
    private boolean callInProgress;

    /** Number of starts, which makes the identities of exchanges unique. */
    private int started;

    /**
     * Creates a run whose items have not been read.
     *
     * @param steward The steward that has lent the chunk.
     * @param expiry The monotonic time in nanoseconds at which the lease expires.
     * @param now The current monotonic time in nanoseconds.
     * @param gateFactory Returns the gate for this run.
     */
    ChunkRun(LentChunk chunk, Member steward, long expiry, long now, Function<ChunkRun, StartGate> gateFactory) {
        this.chunk = chunk;
        this.steward = steward;
        this.expiry = expiry;
        lastProgressAt = now;
        nextCallAt = now;
        backoff = new Backoff(now);
        gate = gateFactory.apply(this);
    }

    /** Returns the chunk as the steward described it. */
    LentChunk chunk() {
        return chunk;
    }

    /** Returns the key of the job to which the chunk belongs. */
    JobKey key() {
        return JobKey.of(chunk.getTeam(), chunk.getKey());
    }

    /** Returns the steward that has lent the chunk. */
    Member steward() {
        return steward;
    }

    /** Returns the gate that every item passes right before it starts. */
    StartGate gate() {
        return gate;
    }

    Stage stage() {
        return stage;
    }

    /** Moves the chunk to a stage. */
    void stage(Stage value) {
        stage = value;
    }

    /**
     * Returns whether the lease has expired. Thread-safe.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    boolean expired(long now) {
        return now - expiry >= 0;
    }

    /**
     * Sets the time at which the lease expires.
     *
     * @param value The monotonic time in nanoseconds.
     */
    void renew(long value) {
        expiry = value;
    }

    /**
     * Starts a call to the platform or the steward, unless one is in progress or it is too early.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return Whether the call may be made.
     */
    boolean begin(long now) {
        if (callInProgress || now - nextCallAt < 0) {
            return false;
        }
        callInProgress = true;
        return true;
    }

    /**
     * Ends the call that is in progress.
     *
     * @param from The monotonic time in nanoseconds from which the next call may be made.
     */
    void end(long from) {
        callInProgress = false;
        nextCallAt = from;
    }

    /**
     * Adds the items of the chunk from the lines of the object that holds them.
     *
     * @param lines The lines of the object.
     */
    void load(List<byte[]> lines) {
        Protos.items(chunk.getItemsList()).indexes().forEach(index -> {
            Item item = Item.parse(lines.get(index - chunk.getObjectFirst()))
                    .getOrElseThrow(problem -> new IllegalStateException("item " + index + " " + problem));
            items.put(index, item);
            (repeatable(index) ? ready : unmarked).addLast(index);
        });
        stage = unmarked.isEmpty() ? Stage.RUNNING : Stage.READING_STARTS;
    }

    /**
     * Sets the start marks of the cell. Items that were marked under other leases get an unknown outcome and do not run
     * again.
     *
     * @param value The start marks of the cell.
     */
    void starts(ProgressStore.Starts value) {
        starts = value;
        ItemSet others =
                StartMarks.markedUnderOtherLeases(value.row(), chunk.getLease().getLease());
        for (Integer index : List.copyOf(unmarked)) {
            if (others.contains(index)) {
                unmarked.remove(index);
                settle(
                        index,
                        ItemResult.newBuilder()
                                .setOutcome(ItemResult.Outcome.UNKNOWN)
                                .setReason("the item was started before, and its worker was lost")
                                .build());
            }
        }
        stage = Stage.RUNNING;
    }

    /**
     * Returns the items to mark as started next. Returns none while marked items are waiting to start.
     *
     * @param limit The maximum number of items that are marked but not running.
     * @return The indexes of the items, empty if there is nothing to mark now.
     */
    List<Integer> itemsToMark(int limit) {
        boolean waiting = ready.stream().anyMatch(index -> !repeatable(index));
        if (closed || waiting || unmarked.isEmpty()) {
            return List.of();
        }
        return unmarked.stream().limit(limit).toList();
    }

    /** Returns the start marks of the cell. */
    ProgressStore.Starts starts() {
        return starts;
    }

    /**
     * Records that items are marked as started, so that they may start.
     *
     * @param value The start marks of the cell.
     */
    void marked(List<Integer> markedItems, ProgressStore.Starts value) {
        starts = value;
        unmarked.removeAll(markedItems);
        ready.addAll(markedItems);
    }

    /**
     * Takes the next item that may start and counts it as running.
     *
     * @return The index of the item, if any may start.
     */
    Optional<Integer> next() {
        if (closed || stage != Stage.RUNNING || ready.isEmpty()) {
            return Optional.empty();
        }
        Integer index = ready.removeFirst();
        running.add(index);
        started++;
        return Optional.of(index);
    }

    /**
     * Returns the task that runs an item.
     *
     * @param index The index of the item.
     * @param service The service whose targets run the item.
     * @param weight The weight of the team.
     */
    ItemTask task(int index, Service service, double weight) {
        TargetId avoid = avoided.remove(index);
        String lease = Long.toUnsignedString(chunk.getLease().getLease(), Character.MAX_RADIX);
        return new ItemTask(
                "batch-" + chunk.getLease().getJob() + "-" + index + "-" + lease + "-" + started,
                item(index),
                repeatable(index),
                service.name(),
                service.kind(),
                TeamId.of(chunk.getTeam()),
                weight,
                avoid == null ? Set.of() : Set.of(avoid),
                gate,
                cancelled.asMono().then(),
                Optional.ofNullable(partials.get(index)));
    }

    /**
     * Records how a run of an item ended.
     *
     * @param index The index of the item.
     * @param now The current monotonic time in nanoseconds.
     */
    void ended(int index, ItemEnd end, long now) {
        running.remove(index);
        partials.remove(index);
        switch (end) {
            case ItemEnd.Settled settled -> {
                settle(index, settled.result());
                lastProgressAt = now;
                backoff.reset();
            }
            case ItemEnd.Lost lost -> results.recordLoss(index);
            case ItemEnd.Rejected rejected -> reject(index, rejected);
            case ItemEnd.Returned returned -> {
                returned.avoid().ifPresent(target -> avoided.put(index, target));
                returned.partial().ifPresent(partial -> partials.put(index, partial));
                ready.addFirst(index);
                backoff.pause(now);
            }
        }
    }

    /**
     * Returns whether starts are paused because items were returned without an outcome recently.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    boolean backingOff(long now) {
        return backoff.backingOff(now);
    }

    /** Stops further items from starting. Running items continue. */
    void close() {
        closed = true;
        gate.close();
    }

    /** Stops further items from starting and cancels the running items that may be repeated. */
    void cancel() {
        close();
        cancelled.tryEmitValue(true);
    }

    /** Returns whether no more items may start. */
    boolean closed() {
        return closed;
    }

    /** Returns the number of items that have not started, 0 if none may start any more. */
    int queued() {
        return closed ? 0 : ready.size() + unmarked.size();
    }

    /** Returns the number of items that run or wait for a permit. */
    int active() {
        return running.size();
    }

    /**
     * Returns whether the chunk has made no progress for a time and may be returned to the steward: no waiting item of
     * it is marked as started.
     *
     * @param now The current monotonic time in nanoseconds.
     * @param limit The time without progress in nanoseconds.
     */
    boolean stalled(long now, long limit) {
        return now - lastProgressAt >= limit && ready.stream().allMatch(this::repeatable) && !callInProgress;
    }

    /**
     * Returns whether no item runs and no more items will start.
     *
     * @return Whether the chunk can be reported.
     */
    boolean finished() {
        boolean empty = closed || (ready.isEmpty() && unmarked.isEmpty());
        return running.isEmpty()
                && empty
                && !callInProgress
                && (stage == Stage.RUNNING || (closed && stage.beforeRunning()));
    }

    /** Returns the outcomes of the items. */
    ChunkResults results() {
        return results;
    }

    /**
     * Returns whether an item may run more than once.
     *
     * @param index The index of the item.
     */
    private boolean repeatable(int index) {
        return item(index).repeatable(chunk.getRepeatable());
    }

    /**
     * Returns an item of this chunk; throws if the chunk has no such item.
     *
     * @param index The index of the item.
     */
    private Item item(int index) {
        Item item = items.get(index);
        if (item == null) {
            throw new IllegalArgumentException("the chunk has no item " + index);
        }
        return item;
    }

    /**
     * Records an error that may be temporary. The item is tried on another target, or fails after too many such errors.
     *
     * @param index The index of the item.
     */
    private void reject(int index, ItemEnd.Rejected rejected) {
        int count = rejections.merge(index, 1, Integer::sum);
        if (count >= MAX_REJECTIONS) {
            settle(
                    index,
                    ItemResult.newBuilder()
                            .setOutcome(ItemResult.Outcome.FAILED)
                            .setReason(rejected.reason())
                            .build());
        } else {
            avoided.put(index, rejected.target());
            ready.addLast(index);
        }
    }

    /**
     * Records the outcome of an item, with its index and identity.
     *
     * @param index The index of the item.
     */
    private void settle(int index, ItemResult result) {
        results.settle(
                result.toBuilder().setIndex(index).setId(item(index).id()).build());
    }

    /** The stage of a chunk, in the order in which a chunk passes them. */
    enum Stage {

        /** The items are being read from the object store. */
        LOADING,

        /** The start marks of the cell are being read. */
        READING_STARTS,

        /** Items run. */
        RUNNING,

        /** The results are being written to the object store. */
        STORING,

        /** The results are being reported to the steward. */
        REPORTING;

        /** Returns whether the chunk has not reached the stage in which items run. */
        boolean beforeRunning() {
            return this == LOADING || this == READING_STARTS;
        }
    }
}
