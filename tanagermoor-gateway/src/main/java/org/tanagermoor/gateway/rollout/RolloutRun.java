package org.tanagermoor.gateway.rollout;

import java.time.Duration;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.policy.rollout.Rollout;
import org.tanagermoor.policy.rollout.RolloutEvidence;
import org.tanagermoor.policy.rollout.RolloutLimits;
import org.tanagermoor.policy.rollout.RolloutOrder;
import org.tanagermoor.policy.rollout.RolloutPhase;

/** One order as this instance knows it. Not thread-safe. */
final class RolloutRun {

    private final long revision;

    private final RolloutOrder order;

    private final RolloutLimits limits;

    /** The monotonic time in nanoseconds at which this instance first saw the order. */
    private final long seenAt;

    private Rollout rollout;

    /** The phase that was last logged; {@code null} before the first. */
    @Nullable
    private RolloutPhase logged;

    /** The version of the row that was last adopted; 0 before the first. */
    private long adoptedVersion;

    /** The monotonic time in nanoseconds of the last write by this instance. */
    private long wroteAt;

    /** The counts that were last written by this instance. */
    private long writtenRequests;

    private long writtenBadAnswers;

    /** The reason for which it waits, as last logged; empty if it does not wait. */
    private String waiting = "";

    /** The counts that were last added to the metrics. */
    private RolloutMetrics.Counts counted = RolloutMetrics.Counts.NONE;

    RolloutRun(long revision, RolloutOrder order, RolloutLimits limits, long now) {
        this.revision = revision;
        this.order = order;
        this.limits = limits;
        seenAt = now;
        rollout = Rollout.of(order, limits, now);
    }

    long revision() {
        return revision;
    }

    RolloutOrder order() {
        return order;
    }

    Rollout rollout() {
        return rollout;
    }

    RolloutPhase phase() {
        return rollout.phase();
    }

    /** Returns whether this phase, adopted or only decided here, is a final one. */
    boolean ended() {
        return rollout.phase().isFinal();
    }

    /**
     * Adopts a row about this order, once for each version of it. A final phase of the row takes the place of a final
     * phase that was only decided here, since an order that has ended is not decided again.
     *
     * @param entry The row.
     * @param now The current monotonic time in nanoseconds.
     */
    void adopt(RolloutTable.Entry entry, long now) {
        if (entry.version() == adoptedVersion) {
            return;
        }
        adoptedVersion = entry.version();
        RolloutState state = entry.state();
        Duration elapsed = state.elapsed().plusNanos(now - entry.seenAt());
        if (ended()
                && state.phase().isFinal()
                && !rollout.phase().getClass().equals(state.phase().getClass())) {
            rollout = Rollout.of(order, limits, seenAt);
        }
        rollout.adoptProgress(elapsed, state.newBadAnswers(), now);
        if (!ended() && !(state.phase() instanceof RolloutPhase.Canary)) {
            rollout.adopt(state.phase(), now);
        }
    }

    /** Returns the phase if it has not been returned before. */
    @Nullable
    RolloutPhase phaseToLog() {
        RolloutPhase phase = rollout.phase();
        if (phase.equals(logged)) {
            return null;
        }
        logged = phase;
        return phase;
    }

    /** Returns whether the counts differ from those that were written last. */
    boolean countsChanged(RolloutEvidence evidence) {
        return evidence.newRequests() != writtenRequests || evidence.newBad() != writtenBadAnswers;
    }

    /** Returns the time since the last write by this instance, in nanoseconds. */
    long sinceWrite(long now) {
        return now - wroteAt;
    }

    /**
     * Returns the state to write.
     *
     * @param phase The phase.
     * @param replaced The versions other than the ordered one that get no requests.
     * @param known The state in the row for the same order; {@code null} if there is none.
     * @param writer The name of this instance.
     * @param now The current monotonic time in nanoseconds.
     */
    RolloutState toState(
            RolloutPhase phase, Set<String> replaced, @Nullable RolloutState known, String writer, long now) {
        RolloutEvidence evidence = rollout.evidence(now);
        wroteAt = now;
        writtenRequests = evidence.newRequests();
        writtenBadAnswers = evidence.newBad();
        // The number of bad answers never decreases, so that a later dispatcher does not miss the limit.
        long badAnswers = known == null ? writtenBadAnswers : Math.max(known.newBadAnswers(), writtenBadAnswers);
        return new RolloutState(
                revision, order, phase, replaced, rollout.elapsed(now), writtenRequests, badAnswers, writer);
    }

    /** Returns whether a reason to wait differs from the one before; an empty one means that it does not wait. */
    boolean waitsFor(String reason) {
        boolean changed = !reason.equals(waiting);
        waiting = reason;
        return changed && !reason.isEmpty();
    }

    /** Returns the counts that were last added to the metrics, and replaces them. */
    RolloutMetrics.Counts count(RolloutMetrics.Counts value) {
        RolloutMetrics.Counts before = counted;
        counted = value;
        return before;
    }
}
