package org.tanagermoor.gateway.job;

import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.kernel.failure.Failure;

/**
 * The successive failures of one step of a job: each is counted, and each cause is logged once. The pauses between
 * attempts grow unless the store is only unavailable for a while. Confined to the event loop.
 */
final class StepFailures {

    /** Pause after the first failure, and while the store is unavailable, in milliseconds. */
    private static final long FIRST_PAUSE_MILLIS = 300;

    /** Maximum pause, in milliseconds. */
    private static final long MAX_PAUSE_MILLIS = 5_000;

    /** The kinds of failures that pass by themselves. */
    private static final Set<Failure.Kind> PASSING =
            Set.of(Failure.Kind.UNAVAILABLE, Failure.Kind.TIMEOUT, Failure.Kind.RATE_LIMITED, Failure.Kind.OVERLOADED);

    private final JobContext context;

    private final String job;

    private final String step;

    /** The cause of the last failure; {@code null} if the last attempt succeeded. */
    @Nullable
    private Cause cause;

    private long pauseMillis = FIRST_PAUSE_MILLIS;

    StepFailures(JobContext context, String job, String step) {
        this.context = context;
        this.job = job;
        this.step = step;
    }

    /**
     * Records a failed attempt.
     *
     * @param failure The failure.
     * @return The pause before the next attempt, in milliseconds.
     */
    long add(Failure failure) {
        context.metrics().jobStepFailed();
        Cause current = new Cause(failure.kind(), failure.step());
        if (!Objects.equals(cause, current)) {
            context.events().record(GatewayEvent.JOB_WRITE_FAILED, "job", job, "step", step, "failure", failure);
        }
        cause = current;
        if (PASSING.contains(failure.kind())) {
            return FIRST_PAUSE_MILLIS;
        }
        long pause = pauseMillis;
        pauseMillis = Math.min(MAX_PAUSE_MILLIS, 2 * pauseMillis);
        return pause;
    }

    /** Records an attempt that succeeded. */
    void clear() {
        cause = null;
        pauseMillis = FIRST_PAUSE_MILLIS;
    }

    /** What distinguishes failures that are logged separately; their details may differ each time. */
    private record Cause(Failure.Kind kind, String step) {}
}
