package org.tanagermoor.gateway.follow;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import io.netty.channel.embedded.EmbeddedChannel;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
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

    private TableFollower follower;

    /** Starts the follower, and lets it read the table. */
    @BeforeEach
    void start() {
        follower = TableFollower.of(
                FollowedTable.of("targets"),
                new Feed(),
                channel.eventLoop(),
                new EventLog.Disabled(),
                new Clock(),
                () -> 0,
                rows -> {});
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
            return answer(new Answer.Changes(List.of(), revision), longest.plusMillis(4));
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
