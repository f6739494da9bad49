package org.tanagermoor.gateway.duty;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.GatewayMetrics;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.event.EventRecord;
import org.tanagermoor.kernel.event.EventType;
import org.tanagermoor.kernel.event.KernelEvent;
import org.tanagermoor.kernel.time.HybridClock;
import org.tanagermoor.kernel.time.TimeSource;
import reactor.core.publisher.Mono;

/** Runs duties on an event loop with a simulated clock. */
final class DutiesTest {

    /** Milliseconds between two runs of a duty. */
    private static final long INTERVAL_MILLIS = 100;

    private final EmbeddedChannel channel = new EmbeddedChannel();

    private final MetricRegistry registry = new MetricRegistry();

    /** What was logged, with the fields in one text. */
    private final List<String> logged = new ArrayList<>();

    /** Current time in nanoseconds. */
    private long now = TimeUnit.SECONDS.toNanos(100);

    /** What the log throws; {@code null} if it works. */
    @Nullable
    private Error logError;

    /** How often the process was ended. */
    private int ends;

    private final Duties duties =
            Duties.of(channel.eventLoop(), new Log(), GatewayMetrics.of(registry), new Clock(), () -> ends++);

    /** Netty cancels a periodic task that throws anything, and says nothing. */
    @ParameterizedTest
    @ValueSource(
            classes = {
                IllegalStateException.class,
                StackOverflowError.class,
                OutOfMemoryError.class,
                AssertionError.class,
                NoClassDefFoundError.class
            })
    void runsADutyAgainAfterAnError(Class<? extends Throwable> type) {
        List<Long> runs = new ArrayList<>();
        duties.every("d", INTERVAL_MILLIS, INTERVAL_MILLIS, () -> {
            runs.add(now);
            if (runs.size() <= 10) {
                throwNew(type);
            }
        });
        advance(20 * INTERVAL_MILLIS);
        assertThat(runs, hasSize(20));
        assertThat(logged, hasSize(1));
        assertThat(logged.get(0), containsString(KernelEvent.DUTY_DEFECT + " duty d error " + type.getName()));
        assertThat(registry.counter("duties.failed").getCount(), is(10L));
        assertThat(ends, is(0));
    }

    /** The log of a recursion without end shows the methods that call each other. */
    @Test
    void logsTheFramesOfARecursion() {
        assertThat(duties.run("d", () -> recurse(Integer.MAX_VALUE)), is(false));
        assertThat(logged.get(0), containsString("recurse"));
        assertThat(logged.get(0), containsString("StackOverflowError"));
    }

    /** Each kind of error is logged once, and no more than a number of kinds. */
    @Test
    void logsABoundedNumberOfKinds() {
        for (int kind = 0; kind < 2 * Duties.MAX_LOGGED_KINDS; kind++) {
            String duty = "d-" + kind;
            assertThat(duties.run(duty, () -> throwNew(AssertionError.class)), is(false));
            assertThat(duties.run(duty, () -> throwNew(AssertionError.class)), is(false));
        }
        assertThat(logged, hasSize(Duties.MAX_LOGGED_KINDS));
        assertThat(registry.counter("duties.failed").getCount(), is(4L * Duties.MAX_LOGGED_KINDS));
    }

    /**
     * The process ends if no duty is done for five seconds because the virtual machine fails; not if one is done in
     * between, and not for errors that say nothing about the virtual machine.
     */
    @ParameterizedTest
    @CsvSource({
        "java.lang.OutOfMemoryError, false, 4000, false",
        "java.lang.OutOfMemoryError, false, 6000, true",
        "java.lang.OutOfMemoryError, true, 60000, false",
        "java.lang.InternalError, false, 6000, true",
        "java.lang.StackOverflowError, false, 60000, false",
        "java.lang.IllegalStateException, false, 60000, false"
    })
    void endsTheProcessIfNoDutyIsDone(
            Class<? extends Throwable> type, boolean anotherIsDone, long millis, boolean expected) {
        duties.every(
                "parts",
                INTERVAL_MILLIS,
                INTERVAL_MILLIS,
                () -> assertThat(duties.run("part", () -> throwNew(type)), is(false)));
        if (anotherIsDone) {
            duties.every("other", 1_000, 1_000, () -> {});
        }
        advance(millis);
        assertThat(ends > 0, is(expected));
        assertThat(
                logged.stream().anyMatch(line -> line.startsWith(GatewayEvent.DUTIES_EXHAUSTED.toString())),
                is(expected));
    }

    /** A log that fails as well must not end the duty. */
    @Test
    void goesOnIfTheLogFails() {
        logError = new OutOfMemoryError("as in a test");
        List<String> done = new ArrayList<>();
        duties.every("d", INTERVAL_MILLIS, INTERVAL_MILLIS, () -> {
            done.add("d");
            throwNew(IllegalStateException.class);
        });
        advance(2 * INTERVAL_MILLIS);
        assertThat(done, hasSize(2));
        assertThat(registry.counter("duties.failed").getCount(), is(2L));
    }

    /** An error in one part keeps neither the following parts nor the duty from being done. */
    @Test
    void runsThePartsAfterAnError() {
        List<String> done = new ArrayList<>();
        duties.every("d", INTERVAL_MILLIS, INTERVAL_MILLIS, () -> {
            assertThat(duties.run("first", () -> throwNew(StackOverflowError.class)), is(false));
            assertThat(duties.run("second", () -> done.add("second")), is(true));
        });
        advance(2 * INTERVAL_MILLIS);
        assertThat(done, contains("second", "second"));
    }

    /** A call whose making, answer or handling ends in an error is followed by the other step, once. */
    @ParameterizedTest
    @ValueSource(strings = {"making", "answer", "handling", ""})
    void retriesACallAfterAnError(String failing) {
        List<String> steps = new ArrayList<>();
        duties.call(
                "d",
                () -> {
                    throwIf(failing.equals("making"));
                    return failing.equals("answer") ? Mono.error(new StackOverflowError()) : Mono.just("answer");
                },
                answer -> {
                    throwIf(failing.equals("handling"));
                    steps.add(answer);
                },
                INTERVAL_MILLIS,
                () -> steps.add("retry"));
        advance(INTERVAL_MILLIS / 2);
        assertThat(steps, failing.isEmpty() ? contains("answer") : empty());
        advance(10 * INTERVAL_MILLIS);
        assertThat(steps, contains(failing.isEmpty() ? "answer" : "retry"));
    }

    /** Calls itself as deeply as a number says. */
    private static int recurse(int depth) {
        return depth == 0 ? 0 : 1 + recurse(depth - 1);
    }

    private static void throwIf(boolean value) {
        if (value) {
            throwNew(StackOverflowError.class);
        }
    }

    /** Throws a new error of a type. */
    private static void throwNew(Class<? extends Throwable> type) {
        Throwable error;
        try {
            error = type.getDeclaredConstructor().newInstance();
        } catch (ReflectiveOperationException exception) {
            throw new IllegalArgumentException(exception);
        }
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

    /** A log that keeps its entries as texts. */
    private final class Log implements EventLog {

        /** {@inheritDoc} */
        @Override
        public void record(EventType type, Object... fields) {
            if (logError != null) {
                throw logError;
            }
            StringBuilder line = new StringBuilder(type.toString());
            for (Object field : fields) {
                line.append(' ').append(Objects.toString(field));
            }
            logged.add(line.toString());
        }

        /** {@inheritDoc} */
        @Override
        public List<EventRecord> since(long sequence, int limit) {
            return List.of();
        }

        /** {@inheritDoc} */
        @Override
        public HybridClock clock() {
            return new HybridClock();
        }
    }
}
