package org.tanagermoor.kernel.duty;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.event.KernelEvent;
import org.tanagermoor.kernel.time.TimeSource;

/**
 * A single-threaded event loop: one thread handles messages from a bounded ring and performs periodic work at an
 * interval, in ticks. A duty that received no message for 200 ms is idle: its ticks are at least 100 ms apart until a
 * message arrives.
 *
 * @param <M> The type of the messages.
 */
public final class Duty<M> implements AutoCloseable {

    /** The maximum number of messages that are handled before the time is read again. */
    private static final int MAX_BATCH = 256;

    /** The time without a message after which a duty is idle, in nanoseconds. */
    private static final long IDLE_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** The minimum interval of the ticks of an idle duty, in nanoseconds. */
    private static final long MIN_IDLE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** The maximum time for which a stop waits for the thread, in milliseconds. */
    private static final long STOP_TIMEOUT_MILLIS = 5_000;

    private final Ring<M> ring;

    private final Work<M> work;

    private final TimeSource time;

    private final EventLog events;

    /** The interval of the ticks in nanoseconds. */
    private final long interval;

    private final Thread thread;

    private volatile boolean running = true;

    /** {@code true} while the thread waits, so that a new message must wake it. */
    private volatile boolean parked;

    private Duty(String name, int capacity, long interval, TimeSource time, EventLog events, Work<M> work) {
        ring = Ring.of(capacity);
        this.interval = interval;
        this.time = time;
        this.events = events;
        this.work = work;
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
    }

    /**
     * Creates a duty and starts its thread.
     *
     * @param <N> The type of the messages.
     * @param capacity The capacity of the ring in messages.
     * @param interval The interval of the ticks in nanoseconds.
     * @param events The log that receives exceptions of the work.
     * @param work The handler of messages and ticks; only the duty's thread calls it.
     * @return A running duty.
     */
    public static <N> Duty<N> start(
            String name, int capacity, long interval, TimeSource time, EventLog events, Work<N> work) {
        Duty<N> duty = new Duty<>(name, capacity, interval, time, events, work);
        duty.thread.start();
        return duty;
    }

    /**
     * Queues a message for the duty, without blocking.
     *
     * @return {@code false} if the ring is full or the duty has stopped; the message is then not handled.
     */
    public boolean offer(M message) {
        if (!running || !ring.offer(message)) {
            return false;
        }
        if (parked) {
            LockSupport.unpark(thread);
        }
        return true;
    }

    /**
     * Returns the number of queued messages, which may change at any time.
     */
    public int backlog() {
        return ring.size();
    }

    /** Stops the duty and waits until its thread has handled the messages that were offered before. */
    @Override
    public void close() {
        running = false;
        LockSupport.unpark(thread);
        if (Thread.currentThread() == thread) {
            return;
        }
        try {
            thread.join(STOP_TIMEOUT_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Handles messages and ticks until the duty is stopped, then one more batch of queued messages. */
    private void run() {
        long nextTickAt = time.nanos();
        long lastMessageAt = nextTickAt;
        while (running) {
            int handled = drain();
            long now = time.nanos();
            if (handled > 0) {
                lastMessageAt = now;
                nextTickAt = Math.min(nextTickAt, now + interval);
            }
            if (now - nextTickAt >= 0) {
                runRecordingDefect(() -> work.tick(now));
                nextTickAt = now + interval(now - lastMessageAt);
            } else if (handled == 0) {
                park(nextTickAt - now);
            }
        }
        drain();
    }

    /**
     * Returns the time between this tick and the next.
     *
     * @param idleNanos The time since the last message in nanoseconds.
     * @return The time in nanoseconds, longer if the duty is idle.
     */
    private long interval(long idleNanos) {
        return idleNanos < IDLE_AFTER_NANOS ? interval : Math.max(interval, MIN_IDLE_INTERVAL_NANOS);
    }

    /**
     * Handles queued messages, at most {@link #MAX_BATCH}.
     *
     * @return The number of handled messages.
     */
    private int drain() {
        int handled = 0;
        long now = time.nanos();
        while (handled < MAX_BATCH) {
            M message = ring.poll();
            if (message == null) {
                break;
            }
            runRecordingDefect(() -> work.handle(message, now));
            handled++;
        }
        if (handled > 0) {
            runRecordingDefect(() -> work.handled(time.nanos()));
        }
        return handled;
    }

    /**
     * Waits until a message is offered or the time has elapsed, for one second at most.
     *
     * @param nanos The maximum time to wait in nanoseconds.
     */
    private void park(long nanos) {
        parked = true;
        if (ring.size() == 0 && running) {
            LockSupport.parkNanos(Math.min(nanos, TimeUnit.SECONDS.toNanos(1)));
        }
        parked = false;
    }

    /** Runs an action and records an exception that it throws, so that a defect does not end the thread. */
    @SuppressWarnings("CatchingUnchecked")
    private void runRecordingDefect(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException exception) {
            events.record(
                    KernelEvent.DUTY_DEFECT, "duty", thread.getName(), "error", exception, "at", origin(exception));
        }
    }

    /**
     * Returns the stack frame in which an exception was thrown.
     *
     * @return The innermost frame; empty if it is not known.
     */
    private static String origin(RuntimeException exception) {
        StackTraceElement[] frames = exception.getStackTrace();
        return frames.length == 0 ? "" : frames[0].toString();
    }

    /**
     * The handler of the messages and ticks of a duty. Only the duty's thread calls its methods.
     *
     * @param <N> The type of the messages.
     */
    public interface Work<N> {

        /**
         * Handles a message.
         *
         * @param now The current monotonic time in nanoseconds.
         */
        void handle(N message, long now);

        /**
         * Called after each batch of handled messages, for work that needs to be done only once per batch.
         *
         * @param now The current monotonic time in nanoseconds.
         */
        default void handled(long now) {
            // No work by default.
        }

        /**
         * Performs periodic work; called at the interval of the duty.
         *
         * @param now The current monotonic time in nanoseconds.
         */
        void tick(long now);
    }
}
