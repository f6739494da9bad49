package org.tanagermoor.gateway.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tanagermoor.policy.prompt.Prompt;
import org.tanagermoor.policy.quarantine.Crash;
import org.tanagermoor.policy.quarantine.CrashEvidence;
import org.tanagermoor.policy.quarantine.Quarantine;
import org.tanagermoor.policy.quarantine.QuarantineDecision;
import org.tanagermoor.policy.quarantine.QuarantineEntry;

/**
 * Keeps requests with a part that crashes targets away from them, and a request that does so itself whenever it is sent
 * again. Learns which they are from the ends of the runs of all instances, which the dispatcher sees. Not thread-safe.
 */
final class PartGuard {

    private final CrashEvidence evidence = CrashEvidence.of();

    private final Quarantine quarantine;

    /** Receives the new records of parts. */
    private final Consumer<QuarantineEntry> onChange;

    PartGuard(Quarantine quarantine, Consumer<QuarantineEntry> onChange) {
        this.quarantine = quarantine;
        this.onChange = onChange;
    }

    /** Returns whether any part is or was held back. */
    boolean anyHeldBack() {
        return !quarantine.isEmpty();
    }

    /** Returns whether a mark is held back. */
    boolean holds(String mark) {
        return quarantine.holds(mark);
    }

    /** Returns the marks of a prompt that are held back. */
    List<String> heldMarks(Prompt prompt) {
        return quarantine.isEmpty()
                ? List.of()
                : prompt.marks().stream().filter(quarantine::holds).toList();
    }

    /** Returns the refusal of an ask that has a part that is held back; empty if it may be granted a place. */
    Optional<PlacementDecision> refusal(Ask ask, long now) {
        return switch (quarantine.decide(ask.prompt(), now)) {
            case QuarantineDecision.Refused refused ->
                Optional.of(new PlacementDecision.Refused(
                        PlacementDecision.Reason.QUARANTINED,
                        Math.max(1, TimeUnit.NANOSECONDS.toMillis(refused.remainingNanos())),
                        refused.detail()));
            case QuarantineDecision.TrialDue due -> Optional.empty();
            case QuarantineDecision.Admitted admitted -> Optional.empty();
        };
    }

    /** Records that a place is granted, which is for a trial if a part of the prompt is held back. */
    void granted(Grant grant, long now) {
        grant.trial = quarantine.beginTrial(grant.prompt, now);
        grant.trial.forEach(onChange);
    }

    /**
     * Records how the use of a place ended.
     *
     * @param grant The place.
     * @param outcome How its use ended.
     * @param answer How the target answered.
     * @param now The current monotonic time in nanoseconds.
     */
    void ended(Grant grant, PlaceOutcome outcome, RunAnswer answer, long now) {
        if (!outcome.mayHaveRun(answer)) {
            quarantine.withdrawTrial(grant.trial, now).forEach(onChange);
        }
        List<String> marks = grant.prompt.marks();
        switch (outcome) {
            case SERVED -> {
                evidence.answered(grant.holder, grant.target, marks, now);
                quarantine.answered(marks, grant.sentAt, now).forEach(onChange);
                accuse(now);
            }
            case FAILED -> evidence.failed(grant.target, marks, grant.sentAt, now);
            case FULL -> evidence.declined(grant.target, grant.sentAt, now);
            default -> {}
        }
        String run = DispatchCodec.run(grant.holder, grant.permit);
        outcome.suspected(grant.prompt)
                .ifPresent(
                        prompt -> crashed(new Crash(run, grant.holder, grant.target, prompt, grant.sentAt, now), now));
    }

    /** Records a run that broke off. */
    void crashed(Crash crash, long now) {
        evidence.crashed(crash, quarantine::holds);
        accuse(now);
    }

    /** Holds back the marks that the evidence accuses. */
    private void accuse(long now) {
        for (Optional<CrashEvidence.Accusation> accusation = evidence.accusation(now);
                accusation.isPresent();
                accusation = evidence.accusation(now)) {
            evidence.explain(accusation.get());
            onChange.accept(quarantine.hold(
                    accusation.get().mark(),
                    Math.max(
                            accusation.get().targets(),
                            accusation.get().crashes().size()),
                    accusation.get().evidence(),
                    now));
        }
    }
}
