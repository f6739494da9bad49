package org.tanagermoor.policy.rollout;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** Decides one roll-out at one instance. */
public final class Rollout {

    private final RolloutOrder order;

    private final RolloutLimits limits;

    private RolloutPhase phase = new RolloutPhase.Canary();

    private long elapsedAtStart;

    private final long startedAt;

    private Rollout(RolloutOrder order, RolloutLimits limits, long startedAt) {
        this.order = order;
        this.limits = limits;
        this.startedAt = startedAt;
    }

    /**
     * Returns a roll-out in its first phase, without evidence.
     *
     * @param order The order.
     * @param limits The bounds on what a bad version may get.
     * @param startedAt The monotonic time in nanoseconds at which this instance saw the order.
     */
    public static Rollout of(RolloutOrder order, RolloutLimits limits, long startedAt) {
        return new Rollout(order, limits, startedAt);
    }

    /** Returns the order that this decides. */
    public RolloutOrder order() {
        return order;
    }

    /** Returns the bounds on what a bad version may get. */
    public RolloutLimits limits() {
        return limits;
    }

    /** Returns the phase that was adopted last. */
    public synchronized RolloutPhase phase() {
        return phase;
    }

    /**
     * Adopts a phase that was decided here or elsewhere. A final phase is not left.
     *
     * @param adopted The phase.
     * @param now The current monotonic time in nanoseconds.
     */
    public synchronized void adopt(RolloutPhase adopted, long now) {
        if (!phase.isFinal()) {
            phase = adopted;
        }
    }

    /**
     * Adopts what another instance stated of the roll-out.
     *
     * @param elapsed The time since the order; the larger one counts.
     * @param badAnswers The number of bad answers of the new version; the larger one counts.
     * @param now The current monotonic time in nanoseconds.
     */
    public synchronized void adoptProgress(Duration elapsed, long badAnswers, long now) {
        elapsedAtStart = Math.max(elapsedAtStart, elapsed.toNanos() - (now - startedAt));
    }

    /**
     * Returns the time since the order.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public synchronized Duration elapsed(long now) {
        return Duration.ofNanos(elapsedAtStart + now - startedAt);
    }

    /**
     * Returns whether a request should be offered to a target of the new version. Changes nothing, so it may be asked
     * any number of times for a request that waits.
     *
     * @param route The name of the route of the request.
     * @param now The current monotonic time in nanoseconds.
     */
    public synchronized boolean offerNew(String route, long now) {
        return phase instanceof RolloutPhase.Moving || phase instanceof RolloutPhase.Completed;
    }

    /**
     * Records that a request got a place.
     *
     * @param route The name of the route of the request.
     * @param newVersion Whether the target has the new version.
     * @param target The identity of the target.
     * @param now The current monotonic time in nanoseconds.
     */
    public synchronized void placed(String route, boolean newVersion, String target, long now) {}

    /**
     * Records that a place was given back unused, or that its target did not run the request.
     *
     * @param newVersion Whether the target has the new version.
     */
    public synchronized void notRun(boolean newVersion) {}

    /**
     * Records how a run ended.
     *
     * @param report The end of the run.
     * @param now The current monotonic time in nanoseconds.
     */
    public synchronized void ended(RunReport report, long now) {}

    /**
     * Returns the targets of the new version that may get requests now.
     *
     * @param newTargets The identities of the usable targets of the new version.
     * @param oldTargets The number of usable targets of other versions.
     * @param now The current monotonic time in nanoseconds.
     */
    public synchronized Set<String> active(Collection<String> newTargets, int oldTargets, long now) {
        return new TreeSet<>(newTargets);
    }

    /**
     * Returns the next phase if it is due. The caller adopts it.
     *
     * @param view What the dispatcher sees of the service.
     * @param now The current monotonic time in nanoseconds.
     */
    public synchronized Optional<RolloutPhase> decide(RolloutView view, long now) {
        return Optional.empty();
    }

    /**
     * Returns the evidence so far.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public synchronized RolloutEvidence evidence(long now) {
        return new RolloutEvidence(List.of(), RolloutEvidence.Verdict.OPEN, 0, 0, 0, 0, 0);
    }
}
