package org.tanagermoor.gateway.follow;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.duty.Duties;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.time.TimeSource;
import reactor.core.publisher.Mono;

/** Keeps the local copy of one table up to date from the store. Confined to the event loop. */
public final class TableFollower {

    /** The maximum wait of one call; bounds the time for which a connection that went silent is not noticed. */
    private static final Duration WAIT = Duration.ofMillis(2_500);

    /**
     * The pause after a first failure in milliseconds; several calls fit into the time within which a change must be
     * known.
     */
    private static final long INITIAL_RETRY_MILLIS = 250;

    /**
     * The maximum pause after several failures in milliseconds: within the time to resume following after an outage.
     */
    private static final long MAX_RETRY_MILLIS = 1_000;

    /**
     * The time without data from the store or from peers after which the store counts as unavailable to all instances,
     * in nanoseconds: longer than peers take to relay a newer copy, shorter than three heartbeats of a target, after
     * which its entry expires.
     */
    private static final long OUTAGE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final FollowedTable table;

    private final ChangeFeed feed;

    private final EventLoop loop;

    private final Duties duties;

    private final EventLog events;

    private final TimeSource time;

    /** Returns the minimum pause between two calls in milliseconds; 0 for none. */
    private final LongSupplier minPause;

    /** Receives the rows that have changed. */
    private final Consumer<List<ChangeFeed.Change>> listener;

    /** The rows that are in the copy and that the listener could not take, by key. */
    private final Map<String, ChangeFeed.Change> undelivered = new LinkedHashMap<>();

    /** Whether the last call failed. */
    private boolean storeUnavailable;

    /** The pause after the next failure in milliseconds. */
    private long retryMillis = INITIAL_RETRY_MILLIS;

    /**
     * The monotonic time in nanoseconds at which data was received again after the store was unavailable to all
     * instances.
     */
    private long recoveredAt;

    /**
     * The monotonic time in nanoseconds at which data was last received: a successful answer, or a newer copy of a
     * peer.
     */
    private long dataReceivedAt;

    /** The monotonic time in nanoseconds of the last successful answer. */
    private long answeredAt;

    /** The monotonic time in nanoseconds at which the last call was made. */
    private long calledAt;

    /** The monotonic time in nanoseconds up to which all changes are known. */
    private long readAt;

    private final StoreClock storeClock = StoreClock.of();

    private boolean stopped;

    private TableFollower(
            FollowedTable table,
            ChangeFeed feed,
            EventLoop loop,
            Duties duties,
            EventLog events,
            TimeSource time,
            LongSupplier minPause,
            Consumer<List<ChangeFeed.Change>> listener) {
        this.table = table;
        this.feed = feed;
        this.loop = loop;
        this.duties = duties;
        this.events = events;
        this.time = time;
        this.minPause = minPause;
        this.listener = listener;
        recoveredAt = time.nanos();
        answeredAt = recoveredAt;
        calledAt = recoveredAt;
        readAt = recoveredAt;
        dataReceivedAt = recoveredAt;
    }

    /**
     * Returns a follower that is not started.
     *
     * @param table The local copy.
     * @param feed The store.
     * @param loop The event loop.
     * @param duties Runs the calls so that an error does not end the following.
     * @param events The log.
     * @param time The source of the current time.
     * @param minPause Returns the minimum pause between two calls in milliseconds; 0 for none.
     * @param listener Receives the rows that have changed.
     * @return A follower.
     */
    public static TableFollower of(
            FollowedTable table,
            ChangeFeed feed,
            EventLoop loop,
            Duties duties,
            EventLog events,
            TimeSource time,
            LongSupplier minPause,
            Consumer<List<ChangeFeed.Change>> listener) {
        return new TableFollower(table, feed, loop, duties, events, time, minPause, listener);
    }

    /** Starts to read the table and its changes. */
    public void start() {
        loop.execute(this::call);
    }

    /** Stops following after the call in progress. */
    public void stop() {
        loop.execute(() -> stopped = true);
    }

    /** Returns the local copy of the table. */
    public FollowedTable table() {
        return table;
    }

    /** Returns whether the last call failed. */
    public boolean storeUnavailable() {
        return storeUnavailable;
    }

    /**
     * Returns the monotonic time in nanoseconds at which data was received again after the store was unavailable to all
     * instances. While it is unavailable only to this instance, peers relay newer copies.
     */
    public long recoveredAt() {
        return recoveredAt;
    }

    /** Returns the monotonic time in nanoseconds of the last successful answer. */
    public long answeredAt() {
        return answeredAt;
    }

    /**
     * Returns the monotonic time in nanoseconds up to which all changes of the table are known: that of the last call
     * that was answered.
     */
    public long readAt() {
        return readAt;
    }

    /** Returns the clock of the store, as its answers state it. */
    public StoreClock storeClock() {
        return storeClock;
    }

    /** Replaces the local copy by that of a peer, if that one is newer. */
    public void adopt(List<ChangeFeed.Change> rows, long revision, String peer) {
        if (revision <= table.revision()) {
            return;
        }
        dataReceived(time.nanos());
        List<ChangeFeed.Change> changed = table.replace(rows, revision);
        events.record(
                GatewayEvent.TABLE_RELAYED,
                "table",
                table.name(),
                "revision",
                revision,
                "peer",
                peer,
                "changed",
                changed.size());
        deliver(changed);
    }

    /** Reads the table if there is no copy yet, else waits for changes. */
    private void call() {
        if (stopped) {
            return;
        }
        read(() -> table.revision() == 0
                ? feed.snapshot(table.name())
                : feed.changes(table.name(), table.revision(), storeUnavailable ? Duration.ZERO : WAIT));
    }

    private void read(Supplier<Mono<Either<Failure, ChangeFeed.Answer>>> answer) {
        calledAt = time.nanos();
        duties.call(duty(), answer, this::handleAnswer, INITIAL_RETRY_MILLIS, this::call);
    }

    /** Handles the answer or the failure of a call. */
    private void handleAnswer(Either<Failure, ChangeFeed.Answer> result) {
        if (result.isLeft()) {
            handleFailure(result.getLeft());
            return;
        }
        long now = time.nanos();
        answeredAt = now;
        retryMillis = INITIAL_RETRY_MILLIS;
        dataReceived(now);
        if (storeUnavailable) {
            storeUnavailable = false;
            events.record(GatewayEvent.STORE_REGAINED, "table", table.name(), "revision", table.revision());
        }
        switch (result.get()) {
            case ChangeFeed.Answer.Snapshot copy -> {
                received(copy.storeMillis(), now);
                deliver(table.replace(copy.rows(), copy.revision()));
            }
            case ChangeFeed.Answer.Changes changes -> {
                received(changes.storeMillis(), now);
                changed(changes);
            }
            case ChangeFeed.Answer.HistoryLost lost -> {
                events.record(GatewayEvent.HISTORY_LOST, "table", table.name(), "revision", table.revision());
                reread();
                return;
            }
        }
        scheduleCall(minPause.getAsLong());
    }

    /**
     * Updates the time at which data was received, and that of the recovery if the store may have been unavailable to
     * all.
     */
    private void dataReceived(long now) {
        if (storeUnavailable && now - dataReceivedAt > OUTAGE_NANOS) {
            recoveredAt = now;
        }
        dataReceivedAt = now;
    }

    /** Records the times of an answer, which holds all changes that were made before its call. */
    private void received(long storeMillis, long now) {
        readAt = calledAt;
        storeClock.observe(storeMillis, now);
    }

    /** Applies changes to the copy, and passes on those that were not known. */
    private void changed(ChangeFeed.Answer.Changes changes) {
        List<ChangeFeed.Change> changed = table.apply(changes.rows(), changes.revision());
        if (!changed.isEmpty() || !undelivered.isEmpty()) {
            deliver(changed);
        }
    }

    /**
     * Passes changed rows on to the listener, and those that it could not take before. If it fails, it gets them one by
     * one, so that a row that it cannot take does not hold up the others.
     */
    private void deliver(List<ChangeFeed.Change> changed) {
        changed.forEach(row -> {
            undelivered.remove(row.key());
            undelivered.put(row.key(), row);
        });
        List<ChangeFeed.Change> rows = List.copyOf(undelivered.values());
        if (duties.run(duty(), () -> listener.accept(rows))) {
            undelivered.clear();
            return;
        }
        for (ChangeFeed.Change row : rows) {
            if (duties.run(duty(), () -> listener.accept(List.of(row)))) {
                undelivered.remove(row.key());
            }
        }
    }

    /** Returns the name under which errors are logged. */
    private String duty() {
        return "follow " + table.name();
    }

    /** Reads the complete table after its history was lost. */
    private void reread() {
        read(() -> feed.snapshot(table.name()));
    }

    /** Records a failure, and calls again after a pause. */
    private void handleFailure(Failure failure) {
        if (!storeUnavailable) {
            storeUnavailable = true;
            events.record(
                    GatewayEvent.STORE_LOST, "table", table.name(), "revision", table.revision(), "failure", failure);
        }
        scheduleCall(retryMillis);
        retryMillis = Math.min(MAX_RETRY_MILLIS, 2 * retryMillis);
    }

    /** Makes the next call after a pause; without one, at once. */
    private void scheduleCall(long millis) {
        if (millis == 0) {
            call();
        } else {
            loop.schedule(this::call, millis, TimeUnit.MILLISECONDS);
        }
    }
}
