package org.tanagermoor.gateway.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.policy.rollout.Rollout;
import org.tanagermoor.policy.rollout.RolloutPhase;
import org.tanagermoor.policy.rollout.RunReport;

/**
 * Restricts the targets of one service while its traffic moves to another version, and reports to the roll-out what was
 * placed and how it ended. Addresses a bad version, which must get few requests, and the end of the old targets, which
 * must not cut off a request. Without a roll-out it permits every target. Not thread-safe.
 */
final class RolloutPlacement {

    /** The time after which items that have not returned their places are recalled again: a recall may be lost. */
    private static final long RECALL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * The part of the old places, in sixths, up to which places in use count. A move requires a fifth more new places
     * than are in use. Items of jobs may use nearly all old places, so that without this limit a service whose new
     * targets have as many places as the old ones would never move.
     */
    private static final int COUNTED_SIXTHS = 5;

    /** The targets of the service by identity. */
    private final Map<String, TargetPlaces> places;

    /** The roll-out of the service; {@code null} if there is none. */
    @Nullable
    private Rollout rollout;

    /** The versions that the row of the roll-out names as replaced; empty if there is no such row. */
    private Optional<Set<String>> recordedVersions = Optional.empty();

    /** The versions that were replaced when this dispatcher saw the completion; {@code null} before. */
    @Nullable
    private Set<String> replacedVersions;

    /** The versions that a former roll-out excludes while there are targets of them. */
    private Set<String> formerVersions = Set.of();

    /** The monotonic time of the last recall in nanoseconds; empty if none was due in this roll-out. */
    private OptionalLong recalledAt = OptionalLong.empty();

    private PeakUse peakUse = new PeakUse();

    /** Creates the placement of a service without a roll-out, whose targets the given map always contains. */
    RolloutPlacement(Map<String, TargetPlaces> places) {
        this.places = places;
    }

    /**
     * Replaces the roll-out. If there is none any more, its rules hold while there are targets of the versions that it
     * excludes; one that had not ended was withdrawn, and excludes its new version.
     *
     * @param value The roll-out; {@code null} if there is none.
     */
    void update(@Nullable Rollout value) {
        if (value == rollout) {
            return;
        }
        formerVersions = value == null ? excludedAtEnd() : Set.of();
        rollout = value;
        replacedVersions = null;
        recalledAt = OptionalLong.empty();
        peakUse = new PeakUse();
        targetsChanged();
    }

    /** Sets the versions that the row of the roll-out names as replaced; empty if there is no such row. */
    void recorded(Optional<Set<String>> versions) {
        recordedVersions = versions.map(Set::copyOf);
    }

    /** Drops the rules of a former roll-out for versions of which no target is left. */
    void targetsChanged() {
        if (!formerVersions.isEmpty()) {
            Set<String> left = new HashSet<>(formerVersions);
            left.retainAll(versions());
            formerVersions = Set.copyOf(left);
        }
    }

    /** Returns whether the roll-out has begun and not ended. */
    boolean running() {
        return rollout != null && !rollout.phase().isFinal();
    }

    /**
     * Returns which targets may get any request, and not only those that are offered to the new version.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return A condition, valid for one decision.
     */
    Predicate<TargetPlaces> permitted(long now) {
        if (rollout == null && formerVersions.isEmpty()) {
            return target -> true;
        }
        Predicate<String> versions = permittedVersions(now);
        return target -> versions.test(target.entry().version());
    }

    /** Returns whether an ask excludes all usable targets that may get any request, of which there are some. */
    boolean excludesAll(Ask ask, long now) {
        List<TargetPlaces> usable = places.values().stream()
                .filter(permitted(now))
                .filter(place -> place.usable(now))
                .toList();
        return !usable.isEmpty()
                && usable.stream()
                        .allMatch(place -> ask.excluded().contains(place.entry().id()));
    }

    /** Returns which targets may get requests, including those that only some requests are offered to. */
    Predicate<TargetPlaces> serving(long now) {
        return phase(now) instanceof RolloutPhase.Canary ? target -> true : permitted(now);
    }

    private Predicate<String> permittedVersions(long now) {
        return switch (phase(now)) {
            case null -> version -> !formerVersions.contains(version);
            case RolloutPhase.Canary canary -> version -> !isNew(version);
            case RolloutPhase.Moving moving -> this::isNew;
            case RolloutPhase.Completed completed -> version -> !replaced().contains(version);
            case RolloutPhase.RolledBack rolledBack -> version -> !isNew(version);
        };
    }

    /**
     * Returns the phase whose rules apply; {@code null} without a roll-out. During the move, the version gets no more
     * requests from the moment of a bad verdict, before the phase that follows is recorded.
     */
    @Nullable
    private RolloutPhase phase(long now) {
        if (rollout == null) {
            return null;
        }
        RolloutPhase phase = rollout.phase();
        return phase instanceof RolloutPhase.Moving && !rollout.offerNew("", now)
                ? new RolloutPhase.RolledBack("the verdict is bad")
                : phase;
    }

    /**
     * Returns the targets of the new version to which an ask is offered before the others.
     *
     * @param ask The ask.
     * @param now The current monotonic time in nanoseconds.
     * @return The identities; empty if the ask is not to be offered to the new version.
     */
    Set<String> offered(Ask ask, long now) {
        if (rollout == null
                || !(rollout.phase() instanceof RolloutPhase.Canary)
                || !rollout.offerNew(ask.traits().route(), now)) {
            return Set.of();
        }
        List<String> newTargets = new ArrayList<>();
        int oldTargets = 0;
        for (TargetPlaces target : places.values()) {
            if (target.usable(now)) {
                if (isNew(target.entry().version())) {
                    newTargets.add(target.entry().id());
                } else {
                    oldTargets++;
                }
            }
        }
        return rollout.active(newTargets, oldTargets, now);
    }

    /** Records that this dispatcher has granted a place. */
    void placed(Grant grant, long now) {
        if (rollout != null) {
            rollout.placed(grant.route, isNew(grant), grant.target, now);
            grant.countedBy = rollout;
            observe(now);
        }
    }

    /** Records the number of places in use. */
    void observe(long now) {
        if (rollout != null) {
            peakUse.observe(
                    places.values().stream()
                            .mapToInt(target -> target.online() + target.batch())
                            .sum(),
                    now);
        }
    }

    /**
     * Records that a place was freed although it is unknown how its use ended. Whether its request ran is unknown, so
     * one at the new version still counts against the share, and one at an old version no longer adds to it.
     */
    void lost(Grant grant, long now) {
        if (rollout != null && grant.countedBy == rollout) {
            if (isNew(grant)) {
                rollout.ended(new RunReport(grant.route, true, grant.target, false, 0, 0), now);
            } else {
                rollout.notRun(false);
            }
        }
        grant.countedBy = null;
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
        if (rollout == null || version(grant).isEmpty()) {
            return;
        }
        if (!outcome.mayHaveRun(answer)) {
            if (grant.countedBy == rollout) {
                rollout.notRun(isNew(grant));
            }
        } else {
            rollout.ended(
                    new RunReport(
                            grant.route,
                            isNew(grant),
                            grant.target,
                            outcome.failure() || answer.failedAnswer(),
                            firstEventNanos(outcome, answer),
                            answer.nanosPerEvent()),
                    now);
        }
    }

    /**
     * Returns the time to the first event; 0 if it is unknown. For a caller that left before the first event this is
     * the time that it waited, since otherwise a version that is too slow for its callers would have no slow answers.
     */
    private static long firstEventNanos(PlaceOutcome outcome, RunAnswer answer) {
        return answer.firstEventNanos() == 0 && outcome == PlaceOutcome.ABANDONED
                ? answer.runNanos()
                : answer.firstEventNanos();
    }

    /** Returns whether items at targets that get no requests any more are to be recalled now. */
    boolean recallDue(long now) {
        boolean restricted =
                rollout == null ? !formerVersions.isEmpty() : !(rollout.phase() instanceof RolloutPhase.Canary);
        if (!restricted || (recalledAt.isPresent() && now - recalledAt.getAsLong() < RECALL_INTERVAL_NANOS)) {
            return false;
        }
        recalledAt = OptionalLong.of(now);
        return true;
    }

    /**
     * Returns which places are at targets that do not get any request. In a move, a place at an unknown target is one
     * of them, since it counts as old.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return A condition, valid for one decision.
     */
    Predicate<Grant> excluded(long now) {
        if (rollout == null && formerVersions.isEmpty()) {
            return grant -> false;
        }
        Predicate<String> versions = permittedVersions(now);
        boolean moving = phase(now) instanceof RolloutPhase.Moving;
        return grant -> version(grant).map(version -> !versions.test(version)).orElse(moving);
    }

    /**
     * Returns the numbers of places on which the next phase depends.
     *
     * @param inUse The places of the service that are in use.
     * @param now The current monotonic time in nanoseconds.
     * @return The numbers.
     */
    RolloutPlaces count(Collection<Grant> inUse, long now) {
        int newPlaces = 0;
        int oldPlaces = 0;
        for (TargetPlaces target : places.values()) {
            if (!isNew(target.entry().version())) {
                oldPlaces += target.entry().capacity();
            } else if (target.usable(now) && target.atFullRate(now)) {
                newPlaces += target.entry().capacity();
            }
        }
        int oldInUse = (int) inUse.stream().filter(grant -> !isNew(grant)).count();
        int counted = Math.min(peakUse.peak(now), oldPlaces * COUNTED_SIXTHS / (COUNTED_SIXTHS + 1));
        return new RolloutPlaces(newPlaces, counted, oldInUse);
    }

    /** Returns whether a place is at the new version; one at a target that is not known counts as old. */
    private boolean isNew(Grant grant) {
        return version(grant).filter(this::isNew).isPresent();
    }

    /** Returns the version of the target of a place; empty if the target is not known. */
    private Optional<String> version(Grant grant) {
        return Optional.ofNullable(grant.version)
                .or(() -> Optional.ofNullable(places.get(grant.target))
                        .map(target -> target.entry().version()));
    }

    private boolean isNew(String version) {
        return rollout != null && rollout.order().version().equals(version);
    }

    /** Returns the versions that the roll-out excludes if its order is replaced or removed now. */
    private Set<String> excludedAtEnd() {
        return Optional.ofNullable(rollout)
                .map(ending -> ending.phase() instanceof RolloutPhase.Completed
                        ? replaced()
                        : Set.of(ending.order().version()))
                .orElse(Set.of());
    }

    /** Returns the versions that a completed roll-out has replaced. */
    private Set<String> replaced() {
        if (recordedVersions.isPresent()) {
            return recordedVersions.get();
        }
        if (replacedVersions == null) {
            Set<String> versions = versions();
            versions.removeIf(this::isNew);
            replacedVersions = versions;
        }
        return replacedVersions;
    }

    /** Returns the versions of the known targets. */
    private Set<String> versions() {
        Set<String> versions = new HashSet<>();
        places.values().forEach(target -> versions.add(target.entry().version()));
        return versions;
    }

    /** The maximum number of places in use over the last seconds. */
    private static final class PeakUse {

        /** The number of seconds that count. */
        private static final int SECONDS = 5;

        /** The maximum in each second. */
        private final int[] peaks = new int[SECONDS + 1];

        /** The second to which each maximum belongs. */
        private final long[] seconds = new long[SECONDS + 1];

        /** Records the current number of places in use. */
        void observe(int places, long now) {
            long second = TimeUnit.NANOSECONDS.toSeconds(now);
            int index = Math.floorMod(second, seconds.length);
            if (seconds[index] != second) {
                seconds[index] = second;
                peaks[index] = 0;
            }
            peaks[index] = Math.max(peaks[index], places);
        }

        /** Returns the maximum. */
        int peak(long now) {
            long second = TimeUnit.NANOSECONDS.toSeconds(now);
            int peak = 0;
            for (int index = 0; index < seconds.length; index++) {
                if (second - seconds[index] <= SECONDS) {
                    peak = Math.max(peak, peaks[index]);
                }
            }
            return peak;
        }
    }
}
