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

/** A chunk that was lent to this instance. Used by the thread of the duty only, but for the expiry and the gate. */
final class ChunkRun {

    /** The times that an item may be answered with an error that may pass. */
    private static final int MAX_REJECTIONS = 3;

    /** The chunk. */
    private final LentChunk chunk;

    /** The steward that lent it. */
    private final Member steward;

    /** Decides whether an item starts. */
    private final StartGate gate;

    /** Completes when the running items are to be cancelled. */
    private final Sinks.One<Boolean> cancelled = Sinks.one();

    /** The items by index. */
    private final Map<Integer, Item> items = new TreeMap<>();

    /** The items that may start. */
    private final Deque<Integer> ready = new ArrayDeque<>();

    /** The items that may not be repeated and are not marked as started. */
    private final Deque<Integer> unmarked = new ArrayDeque<>();

    /** The items that run or wait for a permit. */
    private final Set<Integer> running = new HashSet<>();

    /** What became of the items. */
    private final ChunkResults results = new ChunkResults();

    /** The pause after items went back. */
    private final Backoff backoff;

    /** The rejections by index. */
    private final Map<Integer, Integer> rejections = new HashMap<>();

    /** The target to avoid next, by index. */
    private final Map<Integer, TargetId> avoided = new HashMap<>();

    /** What there is of the answers of items that were cancelled, by index. */
    private final Map<Integer, PartialAnswer> partials = new HashMap<>();

    /** The marks of the cell. */
    private ProgressStore.Starts starts = new ProgressStore.Starts(StartRow.getDefaultInstance(), 0);

    /** The monotonic time in nanoseconds at which the lease lapses. */
    private volatile long expiry;

    /** The monotonic time in nanoseconds from which the next step may be done. */
    private long nextCallAt;

    /** The monotonic time in nanoseconds at which an item ended last with an outcome. */
    private long lastProgressAt;

    /** What is being done. */
    private Stage stage = Stage.LOADING;

    /** Whether no more items start. */
    private boolean closed;

    /** Whether a call to the platform or the steward is under way. */
    private boolean callInProgress;

    /** The number of starts, which is part of the identities of exchanges. */
    private int started;

    /**
     * Creates a run.
     *
     * @param chunk The chunk.
     * @param steward The steward that lent it.
     * @param expiry The monotonic time in nanoseconds at which the lease lapses.
     * @param now The present monotonic time in nanoseconds.
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

    /**
     * Returns the chunk.
     *
     * @return The chunk.
     */
    LentChunk chunk() {
        return chunk;
    }

    /**
     * Returns the key of the job.
     *
     * @return The key of the job.
     */
    JobKey key() {
        return JobKey.of(chunk.getTeam(), chunk.getKey());
    }

    /**
     * Returns the steward that lent the chunk.
     *
     * @return The steward.
     */
    Member steward() {
        return steward;
    }

    /**
     * Returns the gate.
     *
     * @return The gate.
     */
    StartGate gate() {
        return gate;
    }

    /**
     * Returns what is being done.
     *
     * @return The stage.
     */
    Stage stage() {
        return stage;
    }

    /**
     * Sets what is being done.
     *
     * @param value The stage.
     */
    void stage(Stage value) {
        stage = value;
    }

    /**
     * Returns whether the lease has lapsed. Safe for several threads.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return Whether it has lapsed.
     */
    boolean expired(long now) {
        return now - expiry >= 0;
    }

    /**
     * Sets when the lease lapses.
     *
     * @param value The monotonic time in nanoseconds.
     */
    void renew(long value) {
        expiry = value;
    }

    /**
     * Begins a call, unless one is under way or it is too early.
     *
     * @param now The present monotonic time in nanoseconds.
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
     * Ends a call.
     *
     * @param from The monotonic time in nanoseconds from which the next may be made.
     */
    void end(long from) {
        callInProgress = false;
        nextCallAt = from;
    }

    /**
     * Takes the items in.
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
     * Takes in what others have marked as started: its outcome is unknown, and it is not run again.
     *
     * @param value The marks.
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
     * Returns the items to mark as started next.
     *
     * @param limit The most items that may be marked and not running.
     * @return The items, none if there is nothing to mark now.
     */
    List<Integer> itemsToMark(int limit) {
        boolean waiting = ready.stream().anyMatch(index -> !repeatable(index));
        if (closed || waiting || unmarked.isEmpty()) {
            return List.of();
        }
        return unmarked.stream().limit(limit).toList();
    }

    /**
     * Returns the marks of the cell.
     *
     * @return The marks.
     */
    ProgressStore.Starts starts() {
        return starts;
    }

    /**
     * Takes in that items are marked as started.
     *
     * @param markedItems The items.
     * @param value The marks.
     */
    void marked(List<Integer> markedItems, ProgressStore.Starts value) {
        starts = value;
        unmarked.removeAll(markedItems);
        ready.addAll(markedItems);
    }

    /**
     * Takes the next item that may start.
     *
     * @return The index of the item, if there is one.
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
     * Returns the run of an item.
     *
     * @param index The index of the item.
     * @param service What the service is.
     * @param weight The weight of the team.
     * @return The run.
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
     * Takes in how a run of an item ended.
     *
     * @param index The index of the item.
     * @param end How it ended.
     * @param now The present monotonic time in nanoseconds.
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
     * Returns whether items pause, as some went back lately.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return Whether no item is to start now.
     */
    boolean backingOff(long now) {
        return backoff.backingOff(now);
    }

    /** Starts no more items. */
    void close() {
        closed = true;
        gate.close();
    }

    /** Cancels the running items that may be repeated. */
    void cancel() {
        close();
        cancelled.tryEmitValue(true);
    }

    /**
     * Returns whether no more items start.
     *
     * @return Whether no more items start.
     */
    boolean closed() {
        return closed;
    }

    /**
     * Returns the items that have not started.
     *
     * @return The number of items.
     */
    int queued() {
        return closed ? 0 : ready.size() + unmarked.size();
    }

    /**
     * Returns the items that run or wait for a permit.
     *
     * @return The number of items.
     */
    int active() {
        return running.size();
    }

    /**
     * Returns whether the chunk has made no progress for a time and may be given back: nothing of it is marked.
     *
     * @param now The present monotonic time in nanoseconds.
     * @param limit The time in nanoseconds.
     * @return Whether it may be given back.
     */
    boolean stalled(long now, long limit) {
        return now - lastProgressAt >= limit && ready.stream().allMatch(this::repeatable) && !callInProgress;
    }

    /**
     * Returns whether nothing runs and nothing more will.
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

    /**
     * Returns what became of the items.
     *
     * @return What became of the items.
     */
    ChunkResults results() {
        return results;
    }

    /**
     * Returns whether an item may be run again.
     *
     * @param index The index of the item.
     * @return Whether it may be run again.
     */
    private boolean repeatable(int index) {
        return item(index).repeatable(chunk.getRepeatable());
    }

    /**
     * Returns an item.
     *
     * @param index The index of the item.
     * @return The item.
     */
    private Item item(int index) {
        Item item = items.get(index);
        if (item == null) {
            throw new IllegalArgumentException("The chunk has no item " + index);
        }
        return item;
    }

    /**
     * Handles an error that may pass.
     *
     * @param index The index of the item.
     * @param rejected The error.
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
     * Gives an item its outcome.
     *
     * @param index The index of the item.
     * @param result The outcome.
     */
    private void settle(int index, ItemResult result) {
        results.settle(
                result.toBuilder().setIndex(index).setId(item(index).id()).build());
    }

    /** What is being done with a chunk. */
    enum Stage {

        /** Its items are being read. */
        LOADING,

        /** The marks of its cell are being read. */
        READING_STARTS,

        /** Its items run. */
        RUNNING,

        /** Its results are being put into the object store. */
        STORING,

        /** It is being reported. */
        REPORTING;

        /**
         * Returns whether no item has run yet.
         *
         * @return Whether no item has run yet.
         */
        boolean beforeRunning() {
            return this == LOADING || this == READING_STARTS;
        }
    }
}
