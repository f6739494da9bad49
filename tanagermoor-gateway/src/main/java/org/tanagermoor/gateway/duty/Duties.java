package org.tanagermoor.gateway.duty;

import io.netty.channel.EventLoop;
import java.util.Arrays;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.GatewayMetrics;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.event.KernelEvent;
import org.tanagermoor.kernel.time.TimeSource;
import reactor.core.Exceptions;
import reactor.core.publisher.Mono;

/**
 * Runs the recurring work of an instance so that no duty ends while the process goes on. Confined to the event loop.
 *
 * <p>A duty that throws is run again, whatever it throws. What it had not done is done by a later run, since the state
 * that counts is in the store or is told anew by other instances; and to end the process would cut the answers to its
 * callers, while the next process meets the same defect. This holds for a {@link StackOverflowError} too, which leaves
 * nothing behind once the stack is unwound, and for a single {@link OutOfMemoryError}, whose cause may be one large
 * allocation. The process ends if the virtual machine lacks memory, or fails otherwise, for so long that no duty is
 * done any more: the other instances then take its work over. One duty that always lacks memory does not end it, since
 * the input that it needs the memory for would end one instance after the other.
 */
public final class Duties {

    /** Exit status of a process that ended because none of its duties was done. */
    public static final int EXIT_EXHAUSTED = 3;

    /**
     * The time for which no duty is done because the virtual machine fails, after which the process ends, in
     * nanoseconds: longer than a pause of the garbage collector, and about as long as others take to count a silent
     * instance as lost.
     */
    private static final long EXHAUSTED_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** The maximum number of kinds of errors that are logged; all are counted. */
    static final int MAX_LOGGED_KINDS = 64;

    /** The number of stack frames of an error that are logged: enough to show a recursion. */
    private static final int LOGGED_FRAMES = 8;

    private final EventLoop loop;

    private final EventLog events;

    private final GatewayMetrics metrics;

    private final TimeSource time;

    private final Runnable processEnd;

    /** The kinds of errors that have been logged. */
    private final Set<Kind> loggedKinds = new HashSet<>();

    /** The number of errors so far. */
    private long errors;

    /** The monotonic time in nanoseconds since which the virtual machine fails and no duty is done; empty if one is. */
    private OptionalLong exhaustedSince = OptionalLong.empty();

    private Duties(EventLoop loop, EventLog events, GatewayMetrics metrics, TimeSource time, Runnable processEnd) {
        this.loop = loop;
        this.events = events;
        this.metrics = metrics;
        this.time = time;
        this.processEnd = processEnd;
    }

    /**
     * Returns a runner of duties that has none yet.
     *
     * @param loop The event loop on which the duties run.
     * @param events The log, which gets each kind of error once.
     * @param metrics Counts all errors.
     * @param time The source of the current time.
     * @param processEnd Ends the process.
     */
    public static Duties of(
            EventLoop loop, EventLog events, GatewayMetrics metrics, TimeSource time, Runnable processEnd) {
        return new Duties(loop, events, metrics, time, processEnd);
    }

    /**
     * Runs a duty periodically. Safe for use by any thread.
     *
     * @param duty The name of the duty.
     * @param delayMillis The time until the first run, in milliseconds.
     * @param intervalMillis The time between the starts of two runs, in milliseconds.
     * @param work One run.
     */
    public void every(String duty, long delayMillis, long intervalMillis, Runnable work) {
        loop.scheduleAtFixedRate(() -> run(duty, work), delayMillis, intervalMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a step of a duty that goes on by further steps, and after an error another step, so that the duty does not
     * end there.
     *
     * @param duty The name of the duty.
     * @param step The step.
     * @param retryMillis The time from an error to the other step, in milliseconds.
     * @param retry The other step.
     */
    public void runOrRetry(String duty, Runnable step, long retryMillis, Runnable retry) {
        if (!run(duty, step)) {
            loop.schedule(() -> run(duty, retry), retryMillis, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Makes a call and handles its answer on the event loop, as a step of a duty that goes on by further steps. After
     * an error of either, another step is run, so that the duty does not end there.
     *
     * @param <T> The type of the answer.
     * @param duty The name of the duty.
     * @param call Makes the call, whose failures are values.
     * @param handler Handles the answer.
     * @param retryMillis The time from an error to the other step, in milliseconds.
     * @param retry The other step.
     */
    public <T> void call(String duty, Supplier<Mono<T>> call, Consumer<T> handler, long retryMillis, Runnable retry) {
        Consumer<Runnable> onLoop = step -> loop.execute(() -> runOrRetry(duty, step, retryMillis, retry));
        runOrRetry(
                duty,
                () -> call.get()
                        .subscribe(
                                answer -> onLoop.accept(() -> handler.accept(answer)),
                                error -> onLoop.accept(() -> {
                                    throw Exceptions.propagate(error);
                                })),
                retryMillis,
                retry);
    }

    /**
     * Runs a part of a duty, whose error does not keep other parts from being run.
     *
     * @param duty The name of the duty.
     * @param work The part.
     * @return Whether it ended without an error.
     */
    // Netty cancels a periodic task for good that throws anything.
    @SuppressWarnings({"CatchingUnchecked", "PMD.AvoidCatchingThrowable"})
    public boolean run(String duty, Runnable work) {
        long errorsBefore = errors;
        try {
            work.run();
        } catch (Throwable error) {
            failed(duty, error);
            return false;
        }
        if (errors == errorsBefore) {
            exhaustedSince = OptionalLong.empty();
        }
        return true;
    }

    /** Counts and logs an error, and ends the process if no duty has been done for long. */
    @SuppressWarnings({"CatchingUnchecked", "PMD.AvoidCatchingThrowable"})
    private void failed(String duty, Throwable error) {
        errors++;
        boolean exhausted = exhausts(error);
        try {
            metrics.dutyFailed();
            log(duty, error);
        } catch (Throwable secondError) {
            // There may be no memory, or no stack, to tell more; nothing else may end the duty.
            exhausted |= exhausts(secondError);
        }
        if (exhausted) {
            long now = time.nanos();
            if (exhaustedSince.isEmpty()) {
                exhaustedSince = OptionalLong.of(now);
            } else if (now - exhaustedSince.getAsLong() >= EXHAUSTED_NANOS) {
                end(duty, error);
            }
        }
    }

    /** Returns whether an error says that the virtual machine as a whole lacks something. */
    private static boolean exhausts(Throwable error) {
        return error instanceof VirtualMachineError && !(error instanceof StackOverflowError);
    }

    /** Logs an error if its kind has not been logged. */
    private void log(String duty, Throwable error) {
        StackTraceElement[] frames = error.getStackTrace();
        // A stack overflows each time at another place.
        boolean anywhere = error instanceof VirtualMachineError || frames.length == 0;
        Kind kind = new Kind(duty, error.getClass().getName(), anywhere ? "" : frames[0].toString());
        if (loggedKinds.size() < MAX_LOGGED_KINDS && loggedKinds.add(kind)) {
            events.record(
                    KernelEvent.DUTY_DEFECT,
                    "duty",
                    duty,
                    "error",
                    error,
                    "at",
                    Arrays.stream(frames)
                            .limit(LOGGED_FRAMES)
                            .map(StackTraceElement::toString)
                            .collect(Collectors.joining(" < ")));
        }
    }

    /** Ends the process, and says so if there is the memory for it. */
    private void end(String duty, Throwable error) {
        try {
            events.record(GatewayEvent.DUTIES_EXHAUSTED, "duty", duty, "error", error);
        } finally {
            processEnd.run();
        }
    }

    /** What distinguishes errors that are logged separately. */
    private record Kind(String duty, String type, String frame) {}
}
