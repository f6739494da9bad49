package org.tanagermoor.gateway.follow;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.embedded.EmbeddedChannel;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.gateway.GatewayMetrics;
import org.tanagermoor.gateway.duty.Duties;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.time.TimeSource;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Follows a table on an event loop with a simulated clock. */
final class TableFollowerTest {

    /** The channel whose event loop runs the follower. */
    private final EmbeddedChannel channel = new EmbeddedChannel();

    /** The current time in nanoseconds. */
    private long now = TimeUnit.SECONDS.toNanos(100);

    /** Whether the store answers. */
    private boolean answers = true;

    /** The revision of the store. */
    private long revision = 5;

    /** The time for which the last call waited for changes. */
    private Duration wait = Duration.ZERO;

    /** What the listener, or the client of the store, throws. */
    private Throwable error = new IllegalStateException();

    /** The key of the row that the listener cannot take. */
    private String untakeable = "";

    /** The number of calls in which the client of the store will fail with the error. */
    private int brokenCalls;

    /** The changes in the store. */
    private final List<ChangeFeed.Change> changes = new ArrayList<>();

    /** The keys of the rows that the listener has taken. */
    private final List<String> taken = new ArrayList<>();

    private TableFollower follower;

    /** Starts the follower, and lets it read the table. */
    @BeforeEach
    void start() {
        follower = TableFollower.of(
                FollowedTable.of("targets"),
                new Feed(),
                channel.eventLoop(),
                Duties.of(
                        channel.eventLoop(),
                        new EventLog.Disabled(),
                        GatewayMetrics.of(new MetricRegistry()),
                        new Clock(),
                        () -> {}),
                new EventLog.Disabled(),
                new Clock(),
                () -> 0,
                this::take);
        follower.start();
        advance(3_000);
    }

    /** After a failure the store counts as available once it answers, not only at the next change in it. */
    @Test
    void detectsTheRecoveryBeforeTheNextChange() {
        answers = false;
        advance(10_000);
        assertThat(follower.storeUnavailable(), is(true));
        answers = true;
        long recovery = now;
        advance(1_200);
        assertThat(follower.storeUnavailable(), is(false));
        assertThat(follower.recoveredAt(), is(greaterThan(recovery)));
        advance(1_300);
        assertThat(wait, is(greaterThan(Duration.ZERO)));
    }

    /**
     * Entries of targets expire only while the store is unavailable to all instances. While peers relay newer copies it
     * is unavailable to this instance alone, and rows that are removed in the meantime, or after its recovery, stay
     * removed.
     */
    @ParameterizedTest
    @CsvSource({"0, true", "500, false", "1500, false", "4000, true"})
    void detectsWhetherTheStoreWasUnavailableToAll(long relayMillis, boolean forAll) {
        long before = follower.recoveredAt();
        answers = false;
        for (long passed = 0; passed < 8_000; passed += 500) {
            advance(500);
            if (relayMillis > 0 && passed % relayMillis == 0) {
                follower.adopt(List.of(), ++revision, "peer");
                assertThat(follower.recoveredAt() > before, is(forAll && passed > 0));
            }
        }
        answers = true;
        advance(1_200);
        assertThat(follower.storeUnavailable(), is(false));
        assertThat(follower.recoveredAt() > before, is(forAll));
    }

    /** What is known as of an answer is what the store had when it was called: changes may have come meanwhile. */
    @Test
    void knowsTheChangesUpToTheLastCallThatWasAnswered() {
        long before = now;
        advance(6_000);
        assertThat(follower.readAt(), is(greaterThan(before)));
        assertThat(follower.readAt(), is(lessThan(follower.answeredAt())));
        answers = false;
        advance(3_000);
        long last = follower.readAt();
        advance(10_000);
        follower.adopt(List.of(), ++revision, "peer");
        assertThat(follower.readAt(), is(last));
    }

    /**
     * An error of any kind, of the listener or of the store's client, ended the following for good and without a word.
     * Rows that the listener could not take are passed on again, and others are not held up by them.
     */
    @ParameterizedTest
    @ValueSource(classes = {IllegalStateException.class, StackOverflowError.class, OutOfMemoryError.class})
    void followsOnAfterAnError(Class<? extends Throwable> type) throws ReflectiveOperationException {
        error = type.getDeclaredConstructor().newInstance();
        untakeable = "bad";
        change("bad", "good");
        advance(6_000);
        assertThat(taken, hasItem("good"));
        assertThat(taken, not(hasItem("bad")));
        change("better");
        advance(6_000);
        assertThat(taken, hasItem("better"));
        untakeable = "";
        change("best");
        advance(6_000);
        assertThat(taken, hasItems("bad", "best"));
        brokenCalls = 3;
        change("last");
        advance(6_000);
        assertThat(brokenCalls, is(0));
        assertThat(taken, hasItem("last"));
        assertThat(Set.copyOf(taken), hasSize(taken.size()));
    }

    /** Changes rows in the store. */
    private void change(String... keys) {
        revision++;
        for (String key : keys) {
            changes.add(new ChangeFeed.Change(key, revision, new byte[0]));
        }
    }

    /** Takes changed rows, unless one of them cannot be taken. */
    private void take(List<ChangeFeed.Change> rows) {
        if (rows.stream().anyMatch(row -> row.key().equals(untakeable))) {
            fail();
        }
        rows.forEach(row -> taken.add(row.key()));
    }

    /** Throws the error. */
    private void fail() {
        if (error instanceof Error thrown) {
            throw thrown;
        }
        throw (RuntimeException) error;
    }

    /** Advances the time by the given milliseconds. */
    private void advance(long millis) {
        for (long passed = 0; passed < millis; passed += 10) {
            now += TimeUnit.MILLISECONDS.toNanos(10);
            channel.advanceTimeBy(10, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();
        }
    }

    /** A store without changes. */
    private final class Feed implements ChangeFeed {

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, Answer>> snapshot(String table) {
            return answer(new Answer.Snapshot(List.of(), revision), Duration.ofMillis(4));
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, Answer>> changes(String table, long after, Duration longest) {
            wait = longest;
            if (brokenCalls > 0) {
                brokenCalls--;
                fail();
            }
            List<Change> rows =
                    changes.stream().filter(row -> row.version() > after).toList();
            return answer(new Answer.Changes(rows, revision), longest.plusMillis(4));
        }

        /** Answers after a delay, or fails after 1 ms. */
        private Mono<Either<Failure, Answer>> answer(Answer answer, Duration after) {
            Sinks.One<Either<Failure, Answer>> sink = Sinks.one();
            Either<Failure, Answer> result = answers
                    ? Either.right(answer)
                    : Either.left(Failure.unknown(Failure.Kind.TIMEOUT, "store.feed", "store", "no answer"));
            channel.eventLoop()
                    .schedule(() -> sink.tryEmitValue(result), answers ? after.toMillis() : 1, TimeUnit.MILLISECONDS);
            return sink.asMono();
        }
    }

    /** A clock that returns the time of the test. */
    private final class Clock implements TimeSource {

        /** {@inheritDoc} */
        @Override
        public long nanos() {
            return now;
        }

        /** {@inheritDoc} */
        @Override
        public long wallMillis() {
            return TimeUnit.NANOSECONDS.toMillis(now);
        }
    }
}
