package org.tanagermoor.gateway.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.tanagermoor.policy.prompt.Prompt;
import org.tanagermoor.policy.quarantine.IsolatedRuns;
import org.tanagermoor.policy.quarantine.IsolationEnd;
import org.tanagermoor.policy.quarantine.IsolationStep;

/**
 * The queued items of jobs of a service with a part that is held back, and their runs at a target that is reserved for
 * them. Not thread-safe.
 */
final class Suspects {

    /** The time in nanoseconds after which a service whose other targets cannot be used counts as one without them. */
    private static final long SINGLE_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final ServiceQueue queue;

    /** The queued asks in the order of their arrival. */
    private final List<QueuedAsk> waiting = new ArrayList<>();

    private final IsolatedRuns isolated = IsolatedRuns.of();

    /** The monotonic time in nanoseconds since which at most one target can be used; empty if more can. */
    private OptionalLong singleSince = OptionalLong.empty();

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
        if (stepping) {
            return;
        }
        if (waiting.isEmpty() && isolated.isIdle()) {
            singleSince = OptionalLong.empty();
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
        List<TargetPlaces> usable = usable(now);
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

    private List<TargetPlaces> usable(long now) {
        return queue.places().values().stream()
                .filter(queue.rollout().permitted(now))
                .filter(place -> place.usable(now))
                .toList();
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

    /**
     * Lets items run as trials that are due if no second target can be used, so that none can be reserved. Where the
     * service has others, these may be back soon, and the trial could cost the last one.
     */
    private void tryAtSingleTarget(PartGuard parts, BiConsumer<QueuedAsk, TargetPlaces> grant, long now) {
        if (!isolated.isIdle() || !single(now)) {
            return;
        }
        for (QueuedAsk next : List.copyOf(waiting)) {
            Optional<TargetPlaces> target =
                    parts.refusal(next.ask(), now).isEmpty() ? queue.choose(next.ask(), now) : Optional.empty();
            if (target.isPresent() && waiting.remove(next)) {
                grant.accept(next, target.get());
            }
        }
    }

    private boolean single(long now) {
        if (usable(now).size() > 1) {
            singleSince = OptionalLong.empty();
            return false;
        }
        if (singleSince.isEmpty()) {
            singleSince = OptionalLong.of(now);
        }
        return queue.places().size() == 1 || now - singleSince.getAsLong() >= SINGLE_NANOS;
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
