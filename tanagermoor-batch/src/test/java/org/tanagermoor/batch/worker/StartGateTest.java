package org.tanagermoor.batch.worker;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.Queue;
import java.util.concurrent.BrokenBarrierException;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.kernel.failure.Execution;
import org.tanagermoor.kernel.failure.FailureException;
import reactor.core.publisher.Flux;

class StartGateTest {

    /** Maximum time that a test waits for an event, in seconds. */
    private static final long TIMEOUT_SECONDS = 20;

    @ParameterizedTest
    @CsvSource({"false, true, true", "false, false, false", "true, true, false", "true, false, false"})
    void startsOnlyWhileOpenAndAllowed(boolean closed, boolean allowed, boolean starts) {
        AtomicInteger started = new AtomicInteger();
        StartGate gate = new StartGate(() -> allowed);
        if (closed) {
            gate.close();
        }
        Execution execution = gate.guard(Flux.defer(() -> Flux.just(started.incrementAndGet())))
                .map(number -> Execution.UNKNOWN)
                .onErrorResume(
                        error -> Flux.just(((FailureException) error).failure().execution()))
                .blockLast();
        assertThat(started.get(), is(starts ? 1 : 0));
        assertThat(execution, is(starts ? Execution.UNKNOWN : Execution.NOT_RUN));
    }

    @Test
    void checksWhetherStartIsAllowedAtTheStartAndNotBefore() {
        AtomicBoolean allowed = new AtomicBoolean(true);
        Flux<Integer> guarded = new StartGate(allowed::get).guard(Flux.just(1));
        allowed.set(false);
        assertThat(guarded.onErrorReturn(0).blockLast(), is(0));
    }

    /** Two items whose starts each start an item of the other gate held the lock that the other one wanted. */
    @Test
    void startsItemsOfOtherGatesInTheCourseOfAStart() throws InterruptedException {
        StartGate first = new StartGate(() -> true);
        StartGate second = new StartGate(() -> true);
        CyclicBarrier bothStart = new CyclicBarrier(2);
        CountDownLatch ended = new CountDownLatch(2);
        inBackground(() -> first.guard(startOf(bothStart, second)).blockLast(), ended);
        inBackground(() -> second.guard(startOf(bothStart, first)).blockLast(), ended);
        assertThat(ended.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
    }

    /** A start that has passed the gate when it is closed comes before the return of the close, never after it. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void closesAfterTheStartsInProgress(boolean interrupted) throws InterruptedException {
        StartGate gate = new StartGate(() -> true);
        Queue<String> order = new ConcurrentLinkedQueue<>();
        CountDownLatch passed = new CountDownLatch(1);
        CountDownLatch goOn = new CountDownLatch(1);
        CountDownLatch ended = new CountDownLatch(2);
        Flux<Integer> item = Flux.defer(() -> {
            passed.countDown();
            await(goOn);
            order.add("started");
            return Flux.just(1);
        });
        inBackground(() -> gate.guard(item).blockLast(), ended);
        await(passed);
        Thread closer = inBackground(
                () -> {
                    gate.close();
                    order.add("closed " + Thread.currentThread().isInterrupted());
                },
                ended);
        while (closer.getState() != Thread.State.WAITING) {
            Thread.onSpinWait();
        }
        if (interrupted) {
            closer.interrupt();
        }
        assertThat(gate.guard(Flux.just(1)).onErrorReturn(0).blockLast(), is(0));
        goOn.countDown();
        await(ended);
        assertThat(order, contains("started", "closed " + interrupted));
    }

    /** The code that starts an item may close its gate; a start that fails is none in progress. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void closesInTheCourseOfAStart(boolean fails) {
        StartGate gate = new StartGate(() -> true);
        Flux<Integer> item = Flux.from(subscriber -> {
            gate.close();
            if (fails) {
                throw new IllegalStateException("the start fails");
            }
            Flux.just(1).subscribe(subscriber);
        });
        assertThat(gate.guard(item).onErrorReturn(-1).blockLast(), is(fails ? -1 : 1));
        gate.close();
        assertThat(gate.guard(Flux.just(1)).onErrorReturn(0).blockLast(), is(0));
    }

    /** Returns an item whose start waits for that of another one, then starts one of another gate. */
    private static Flux<Integer> startOf(CyclicBarrier bothStart, StartGate other) {
        return Flux.defer(() -> {
            try {
                bothStart.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException | BrokenBarrierException | TimeoutException exception) {
                throw new AssertionError(exception);
            }
            return Flux.just(other.guard(Flux.just(1)).blockLast());
        });
    }

    private static Thread inBackground(Runnable action, CountDownLatch ended) {
        Thread thread = new Thread(() -> {
            action.run();
            ended.countDown();
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void await(CountDownLatch latch) {
        try {
            assertThat(latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
        } catch (InterruptedException exception) {
            throw new AssertionError(exception);
        }
    }
}
