package org.tanagermoor.gateway.dispatch;

import java.util.Optional;
import java.util.OptionalLong;
import org.tanagermoor.gateway.forward.TargetHead;

/** Measures how a target answers in one run of a request. Not thread-safe. */
public final class RunMeter {

    /** The lowest status of an answer that is a failure of the target. */
    private static final int FIRST_FAILURE_STATUS = 500;

    /** The monotonic time of the request in nanoseconds; empty if there is no run. */
    private final OptionalLong startedAt;

    private boolean failedAnswer;

    private long firstEventNanos;

    private long events;

    private Optional<LoadReport> load = Optional.empty();

    private RunMeter(OptionalLong startedAt) {
        this.startedAt = startedAt;
    }

    /** Returns a meter for the time in which a request is at no target. */
    public static RunMeter idle() {
        return new RunMeter(OptionalLong.empty());
    }

    /**
     * Returns a meter of a run that starts now.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return A meter.
     */
    public static RunMeter of(long now) {
        return new RunMeter(OptionalLong.of(now));
    }

    /**
     * Records the head of the answer.
     *
     * @param head The head.
     * @param now The current monotonic time in nanoseconds.
     */
    public void head(TargetHead head, long now) {
        failedAnswer = head.status() >= FIRST_FAILURE_STATUS && !head.notRun();
        if (!head.events()) {
            firstEventNanos = elapsed(now);
        }
        head.load().ifPresent(value -> load = Optional.of(new LoadReport(value, now)));
    }

    /**
     * Records an event.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public void event(long now) {
        if (events++ == 0) {
            firstEventNanos = elapsed(now);
        }
    }

    /**
     * Returns how the target has answered, if the run ends now.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The answer; {@link RunAnswer#NONE} if there is no run.
     */
    public RunAnswer end(long now) {
        return startedAt.isEmpty()
                ? RunAnswer.NONE
                : new RunAnswer(failedAnswer, firstEventNanos, events, elapsed(now), load);
    }

    /** Returns the time since the request, at least 1, since 0 stands for an unknown time. */
    private long elapsed(long now) {
        return startedAt.isEmpty() ? 0 : Math.max(1, now - startedAt.getAsLong());
    }
}
