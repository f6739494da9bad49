package org.tanagermoor.gateway.follow;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.time.TimeSource;
import reactor.core.publisher.Mono;

/** Keeps the copy of one table up to date from the store. Confined to the event loop. */
public final class TableFollower {

    /** The longest wait of one call; bounds how long a connection that went silent is not noticed. */
    private static final Duration WAIT = Duration.ofMillis(2_500);

    /** The pause after a first failure in milliseconds; several calls fit into the time to learn of a change. */
    private static final long RETRY_MILLIS = 250;

    /** The longest pause after several failures in milliseconds: within the time to follow again after an outage. */
    private static final long RETRY_MILLIS_MOST = 1_000;

    /**
     * The time without news from the store or from peers after which the store counts as away for all, in nanoseconds:
     * longer than peers take to relay a newer copy, shorter than three heartbeats, after which entries lapse.
     */
    private static final long AWAY_FOR_ALL_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** The copy. */
    private final FollowedTable table;

    /** The store. */
    private final ChangeFeed feed;

    /** The event loop. */
    private final EventLoop loop;

    /** The log. */
    private final EventLog events;

    /** The source of the present time. */
    private final TimeSource time;

    /** Tells the least time between two calls in milliseconds; 0 for none. */
    private final LongSupplier pause;

    /** Receives what has changed. */
    private final Consumer<List<ChangeFeed.Change>> listener;

    /** Whether the last call failed. */
    private boolean storeUnavailable;

    /** The pause after the next failure in milliseconds. */
    private long retryMillis = RETRY_MILLIS;

    /** The monotonic time in nanoseconds at which news came again after the store was away for all. */
    private long recoveredAt;

    /** The monotonic time in nanoseconds of the last news: a good answer, or a newer copy of a peer. */
    private long newsAt;

    /** The monotonic time in nanoseconds of the last good answer. */
    private long answeredAt;

    /** Whether this follower is stopped. */
    private boolean stopped;

    /** Creates a follower that is not started. */
    private TableFollower(
            FollowedTable table,
            ChangeFeed feed,
            EventLoop loop,
            EventLog events,
            TimeSource time,
            LongSupplier pause,
            Consumer<List<ChangeFeed.Change>> listener) {
        this.table = table;
        this.feed = feed;
        this.loop = loop;
        this.events = events;
        this.time = time;
        this.pause = pause;
        this.listener = listener;
        recoveredAt = time.nanos();
        answeredAt = recoveredAt;
        newsAt = recoveredAt;
    }

    /**
     * Returns a follower that is not started.
     *
     * @param table The copy.
     * @param feed The store.
     * @param loop The event loop.
     * @param events The log.
     * @param time The source of the present time.
     * @param pause Tells the least time between two calls in milliseconds; 0 for none.
     * @param listener Receives what has changed.
     * @return A follower.
     */
    public static TableFollower of(
            FollowedTable table,
            ChangeFeed feed,
            EventLoop loop,
            EventLog events,
            TimeSource time,
            LongSupplier pause,
            Consumer<List<ChangeFeed.Change>> listener) {
        return new TableFollower(table, feed, loop, events, time, pause, listener);
    }

    /** Starts to follow. */
    public void start() {
        loop.execute(this::call);
    }

    /** Stops to follow. */
    public void stop() {
        loop.execute(() -> stopped = true);
    }

    /** Returns the copy. */
    public FollowedTable table() {
        return table;
    }

    /** Returns whether the last call failed. */
    public boolean storeUnavailable() {
        return storeUnavailable;
    }

    /**
     * Returns the monotonic time in nanoseconds at which news came again after the store was away for all. While it is
     * away for this instance alone, peers relay newer copies.
     */
    public long recoveredAt() {
        return recoveredAt;
    }

    /** Returns the monotonic time in nanoseconds of the last good answer. */
    public long answeredAt() {
        return answeredAt;
    }

    /** Takes over a copy that a peer has. */
    public void adopt(List<ChangeFeed.Change> rows, long revision, String peer) {
        if (revision <= table.revision()) {
            return;
        }
        news(time.nanos());
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
        listener.accept(changed);
    }

    /** Makes the next call. */
    private void call() {
        if (stopped) {
            return;
        }
        Mono<Either<Failure, ChangeFeed.Answer>> answer = table.revision() == 0
                ? feed.snapshot(table.name())
                : feed.changes(table.name(), table.revision(), storeUnavailable ? Duration.ZERO : WAIT);
        answer.subscribe(result -> loop.execute(() -> answered(result)));
    }

    /** Takes an answer. */
    private void answered(Either<Failure, ChangeFeed.Answer> result) {
        if (result.isLeft()) {
            failed(result.getLeft());
            return;
        }
        long now = time.nanos();
        answeredAt = now;
        retryMillis = RETRY_MILLIS;
        news(now);
        if (storeUnavailable) {
            storeUnavailable = false;
            events.record(GatewayEvent.STORE_REGAINED, "table", table.name(), "revision", table.revision());
        }
        switch (result.get()) {
            case ChangeFeed.Answer.Snapshot whole -> listener.accept(table.replace(whole.rows(), whole.revision()));
            case ChangeFeed.Answer.Changes changes -> changed(changes);
            case ChangeFeed.Answer.HistoryLost lost -> {
                events.record(GatewayEvent.HISTORY_LOST, "table", table.name(), "revision", table.revision());
                reread();
                return;
            }
        }
        next(pause.getAsLong());
    }

    /** Takes in that news came, after a time in which the store may have been away for all. */
    private void news(long now) {
        if (storeUnavailable && now - newsAt > AWAY_FOR_ALL_NANOS) {
            recoveredAt = now;
        }
        newsAt = now;
    }

    /** Takes changes. */
    private void changed(ChangeFeed.Answer.Changes changes) {
        List<ChangeFeed.Change> changed = table.apply(changes.rows(), changes.revision());
        if (!changed.isEmpty()) {
            listener.accept(changed);
        }
    }

    /** Reads the whole table after its history was lost. */
    private void reread() {
        feed.snapshot(table.name()).subscribe(result -> loop.execute(() -> answered(result)));
    }

    /** Notes a failure and calls again after a pause. */
    private void failed(Failure failure) {
        if (!storeUnavailable) {
            storeUnavailable = true;
            events.record(
                    GatewayEvent.STORE_LOST, "table", table.name(), "revision", table.revision(), "failure", failure);
        }
        next(retryMillis);
        retryMillis = Math.min(RETRY_MILLIS_MOST, 2 * retryMillis);
    }

    /** Makes the next call after a pause. */
    private void next(long millis) {
        if (millis == 0) {
            call();
        } else {
            loop.schedule(this::call, millis, TimeUnit.MILLISECONDS);
        }
    }
}
