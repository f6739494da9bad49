package org.tanagermoor.gateway.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.tanagermoor.policy.prompt.Prompt;
import org.tanagermoor.policy.quarantine.IsolatedRuns;
import org.tanagermoor.policy.quarantine.IsolationEnd;
import org.tanagermoor.policy.quarantine.IsolationStep;

/**
 * The queued items of jobs of a service with a part that is held back, and their runs at a target that is reserved for
 * them. Not thread-safe.
 */
final class Suspects {

    private final ServiceQueue queue;

    /** The queued asks in the order of their arrival. */
    private final List<QueuedAsk> waiting = new ArrayList<>();

    private final IsolatedRuns isolated = IsolatedRuns.of();

    /** Whether a step is being taken: what it causes must not take another one. */
    private boolean stepping;

    Suspects(ServiceQueue queue) {
        this.queue = queue;
    }

    /** Returns the queued asks; changes take effect. */
    List<QueuedAsk> waiting() {
        return waiting;
    }

    /** Returns whether a place is one of an isolated run. */
    boolean isolates(Grant place) {
        return isolated.runs(run(place));
    }

    /** Lets items whose parts are no longer held back wait for any target. */
    private void returnReleased(PartGuard parts) {
        List<QueuedAsk> released = waiting.stream()
                .filter(next -> parts.heldMarks(next.ask().prompt()).isEmpty())
                .toList();
        waiting.removeAll(released);
        queue.batch().addAll(released);
    }

    /**
     * Takes all steps that can be taken now.
     *
     * @param parts Tells which parts are held back.
     * @param recalls Recalls the items of other jobs at a target that is reserved.
     * @param onChange Receives the reservation of a target and its end.
     * @param grant Grants a place at a target to an ask that was queued.
     * @param now The current monotonic time in nanoseconds.
     */
    void advance(
            PartGuard parts,
            Recalls recalls,
            Consumer<IsolationStep> onChange,
            BiConsumer<QueuedAsk, TargetPlaces> grant,
            long now) {
        if ((waiting.isEmpty() && isolated.isIdle()) || stepping) {
            return;
        }
        stepping = true;
        try {
            returnReleased(parts);
            IsolationStep step = next(parts, now);
            while (!(step instanceof IsolationStep.Wait)) {
                take(step, recalls, onChange, grant, now);
                returnReleased(parts);
                step = next(parts, now);
            }
            tryAtSingleTarget(parts, grant, now);
        } finally {
            stepping = false;
        }
    }

    private void take(
            IsolationStep step,
            Recalls recalls,
            Consumer<IsolationStep> onChange,
            BiConsumer<QueuedAsk, TargetPlaces> grant,
            long now) {
        switch (step) {
            case IsolationStep.Wait wait -> {}
            case IsolationStep.Reserve reserve -> {
                reserve(reserve.target(), true);
                recalls.recallAt(reserve.target());
                onChange.accept(step);
            }
            case IsolationStep.Run run -> run(run, grant, now);
            case IsolationStep.Release release -> {
                reserve(release.target(), false);
                onChange.accept(step);
            }
        }
    }

    /** Grants places to suspects; the run of one that was withdrawn meanwhile has ended. */
    private void run(IsolationStep.Run step, BiConsumer<QueuedAsk, TargetPlaces> grant, long now) {
        List<String> withdrawn = new ArrayList<>(step.runs());
        for (QueuedAsk next : List.copyOf(waiting)) {
            TargetPlaces target = queue.places().get(step.target());
            String run = run(next.ask());
            if (target != null && step.runs().contains(run) && waiting.remove(next)) {
                withdrawn.remove(run);
                grant.accept(next, target);
            }
        }
        withdrawn.forEach(run -> isolated.ended(run, IsolationEnd.WITHDRAWN, now));
    }

    private void reserve(String target, boolean value) {
        TargetPlaces place = queue.places().get(target);
        if (place != null) {
            place.reserve(value);
        }
    }

    private IsolationStep next(PartGuard parts, long now) {
        Predicate<TargetPlaces> permitted = queue.rollout().permitted(now);
        List<TargetPlaces> usable = queue.places().values().stream()
                .filter(permitted)
                .filter(place -> place.usable(now))
                .toList();
        int spare = usable.stream()
                .filter(place -> !place.reserved())
                .mapToInt(place -> place.places(now) - place.online())
                .sum();
        return isolated.next(
                waiting.stream().map(next -> suspect(next, parts)).toList(),
                usable.stream().map(place -> target(place, now)).toList(),
                new IsolatedRuns.Demand(!queue.online().isEmpty(), spare),
                parts::holds,
                now);
    }

    private static IsolatedRuns.Suspect suspect(QueuedAsk next, PartGuard parts) {
        Prompt prompt = next.ask().prompt();
        return new IsolatedRuns.Suspect(
                run(next.ask()),
                prompt.own() + " " + prompt.content(),
                parts.heldMarks(prompt),
                next.ask().excluded(),
                next.arrivedAt());
    }

    private static IsolatedRuns.Target target(TargetPlaces place, long now) {
        return new IsolatedRuns.Target(
                place.entry().id(),
                place.online(),
                place.online() + place.batch(),
                place.places(now),
                place.admitted(now),
                place.reserved(),
                place.suspected("", now) || !place.atFullRate(now));
    }

    /** Lets an item run as a trial if one is due and the service has no second target, so that none can be reserved. */
    private void tryAtSingleTarget(PartGuard parts, BiConsumer<QueuedAsk, TargetPlaces> grant, long now) {
        if (queue.places().size() != 1 || waiting.isEmpty()) {
            return;
        }
        QueuedAsk next = waiting.get(0);
        if (parts.refusal(next.ask(), now).isEmpty()) {
            queue.choose(next.ask(), now).ifPresent(target -> {
                waiting.remove(next);
                grant.accept(next, target);
            });
        }
    }

    /**
     * Records how the use of a place ended, if it was one of an isolated run.
     *
     * @param place The place.
     * @param end How its use ended.
     * @param sink Receives what it shows.
     * @param now The current monotonic time in nanoseconds.
     */
    void ended(Grant place, IsolationEnd end, DispatchSink sink, long now) {
        isolated.ended(run(place), end, now).ifPresent(verdict -> {
            TargetPlaces target = queue.places().get(place.target);
            if (end == IsolationEnd.CRASHED && target != null && !place.earlierProcess) {
                target.crashedAlone(now);
            }
            sink.isolatedRunEnded(place.service, run(place), verdict);
        });
    }

    private static String run(Grant place) {
        return DispatchCodec.run(place.holder, place.permit);
    }

    private static String run(Ask ask) {
        return DispatchCodec.run(ask.holder(), ask.permit());
    }
}
