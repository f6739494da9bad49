package org.tanagermoor.policy.rollout;

import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.policy.rollout.RolloutEvidence.Verdict;

/**
 * Decides one roll-out at one instance. Designed for 30 to 1,000 requests per second over routes of uneven rate, orders
 * of 12 s to some minutes, and dispatchers that do not know of each other: each keeps the share in its own counts, so
 * that their sum keeps it too. May be called from several threads.
 */
public final class Rollout {

    /** The maximum share of requests that the new version gets before a good verdict: half of the usual bound. */
    private static final double FIRST_SHARE = 0.05;

    /** The maximum share after a good verdict, a little below the usual bound. */
    private static final double SECOND_SHARE = 0.09;

    /** The parts of the limit that the shares may use where the limit is lower than usual. */
    private static final double FIRST_PART = 0.5;

    private static final double SECOND_PART = 0.9;

    /** The part of the duration that is left for the move, and its bounds in nanoseconds. */
    private static final double MOVE_PART = 0.3;

    private static final long MIN_MOVE_NANOS = Duration.ofSeconds(3).toNanos();

    private static final long MAX_MOVE_NANOS = Duration.ofSeconds(10).toNanos();

    /** The time after the move was written from which no instance sends requests to old targets, in nanoseconds. */
    private static final long SETTLE_NANOS = Duration.ofMillis(1_500).toNanos();

    /** The part of the places in use by which the new places must exceed them. */
    private static final double SPARE_PLACES = 0.2;

    /** The number of bad answers after which the version gets no more requests, unless the evidence favours it. */
    private static final long BAD_ANSWERS = 50;

    /** The time by which requests end before the bound after the 50th bad answer, in nanoseconds. */
    private static final long ROLLBACK_MARGIN_NANOS = Duration.ofMillis(1_500).toNanos();

    /** The number of runs without which the sign of the evidence says nothing. */
    private static final long MIN_RUNS = 8;

    /**
     * The log-likelihood ratio up to which an open test does not hold up a move that is due: that of one bad answer in
     * 12, the sample of 12 s at 30 requests per second.
     */
    private static final double OPEN_SUM = 0.5;

    /** The time in which a bad version is found during the move at low rates, in seconds. */
    private static final double DETECTION_SECONDS = 5;

    /** The time after the deadline from which evidence that is neither good nor bad does not delay the end. */
    private static final long OPEN_EVIDENCE_NANOS = Duration.ofSeconds(10).toNanos();

    /**
     * The time before the deadline from which the larger likelihood decides on the completion, in nanoseconds. A move
     * that began without a good verdict is not completed before, as slow answers are known later than others.
     */
    private static final long LAST_CALL_NANOS = Duration.ofMillis(500).toNanos();

    /** The number of bursts in which the new targets get their requests while they are too many for this share. */
    private static final int BURSTS = 4;

    /** The part of the bound on the requests to a bad version at which the evidence must favour the version. */
    private static final double EXPOSURE_CHECK = 0.75;

    /**
     * The time without a check from which the state counts as unknown, in nanoseconds: four of the intervals at which
     * an instance checks it. A longer pause means that the instance was frozen.
     */
    private static final long CHECK_NANOS = Duration.ofSeconds(1).toNanos();

    private static final int MIN_ACTIVE = 2;

    private static final long MIN_ROTATION_NANOS = Duration.ofSeconds(1).toNanos();

    private static final long MAX_ROTATION_NANOS = Duration.ofSeconds(5).toNanos();

    private final RolloutOrder order;

    private final RolloutLimits limits;

    private final long startedAt;

    private final long moveAfter;

    private final Comparison comparison = new Comparison();

    private RolloutPhase phase = new RolloutPhase.Canary();

    /** The time of the order, which is before that at which this instance saw it if another one knew it longer. */
    private long orderedAt;

    /** The time at which the phase was adopted. */
    private long phaseSince;

    private long newPlaced;

    private long oldPlaced;

    /** The number of runs at new targets that have not ended. */
    private long newInFlight;

    private long newEnded;

    private long newBad;

    /** The number of bad answers that other dispatchers counted and this one did not. */
    private long badElsewhere;

    /** The time at which the 50th bad answer was known. */
    private @Nullable Long manyBadSince;

    private boolean judgedManyBad;

    private boolean judgedExposure;

    private boolean movedOnOpenEvidence;

    /** Why the version is bad; the verdict is final. */
    private @Nullable String condemned;

    private boolean stateFresh = true;

    /** The time of the last decision, which tells whether the state is fresh; {@code null} before the first. */
    private @Nullable Long checkedAt;

    private int oldPlacesInUse;

    private int oldTargets;

    private int activeCount = MIN_ACTIVE;

    /** The usable new targets, in order. */
    private List<String> sorted = List.of();

    private Set<String> known = Set.of();

    /** Whether the new targets get requests now, or wait until there are enough for a burst. */
    private boolean inBurst;

    private Rollout(RolloutOrder order, RolloutLimits limits, long startedAt) {
        this.order = order;
        this.limits = limits;
        this.startedAt = startedAt;
        this.orderedAt = startedAt;
        this.phaseSince = startedAt;
        long duration = order.duration().toNanos();
        long move = Math.max(MIN_MOVE_NANOS, Math.min(MAX_MOVE_NANOS, (long) (MOVE_PART * duration)));
        this.moveAfter = Math.max(0, duration - move);
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
     * Adopts a phase whose write was acknowledged or that another instance wrote. A final phase is not left.
     *
     * @param adopted The phase.
     * @param now The current monotonic time in nanoseconds.
     */
    public synchronized void adopt(RolloutPhase adopted, long now) {
        if (!phase.isFinal() && !phase.equals(adopted)) {
            phase = adopted;
            phaseSince = now;
            movedOnOpenEvidence = adopted instanceof RolloutPhase.Moving && !comparison.wasGood();
            comparison.oldFrozen(!(adopted instanceof RolloutPhase.Canary));
        }
    }

    /**
     * Adopts what another instance stated of the roll-out.
     *
     * @param elapsed The time since the order; the larger one counts.
     * @param badAnswers The number of bad answers of the new version that it knew of, which may include those counted
     *     here; what exceeds them is added to those counted here from now on.
     * @param now The current monotonic time in nanoseconds.
     */
    public synchronized void adoptProgress(Duration elapsed, long badAnswers, long now) {
        orderedAt = Math.min(orderedAt, now - elapsed.toNanos());
        badElsewhere = Math.max(badElsewhere, badAnswers - newBad);
        noteBadAnswers(now);
    }

    /**
     * Returns the time since the order.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public synchronized Duration elapsed(long now) {
        return Duration.ofNanos(now - orderedAt);
    }

    /**
     * Returns whether a request should be offered to a target of the new version. Changes nothing, so it may be asked
     * any number of times for a request that waits.
     *
     * @param route The name of the route of the request.
     * @param now The current monotonic time in nanoseconds.
     */
    public synchronized boolean offerNew(String route, long now) {
        if (condemned != null) {
            return false;
        }
        return switch (phase) {
            case RolloutPhase.Canary canary ->
                isCurrent(now) && credit() >= 1 && inBurst && comparison.wants(route, newPlaced) && !isHeld(now);
            case RolloutPhase.Moving moving -> true;
            case RolloutPhase.Completed completed -> true;
            case RolloutPhase.RolledBack rolledBack -> false;
        };
    }

    /** Returns whether the state was fresh when it was last checked, and this was not before a pause. */
    private boolean isCurrent(long now) {
        return stateFresh && (checkedAt == null || now - checkedAt <= CHECK_NANOS);
    }

    /** Returns the number of requests that the share would allow now, with the next one. */
    private double credit() {
        return share() * (oldPlaced + newPlaced + 1) - newPlaced;
    }

    private double share() {
        return comparison.wasGood()
                ? Math.min(SECOND_SHARE, SECOND_PART * limits.share())
                : Math.min(FIRST_SHARE, FIRST_PART * limits.share());
    }

    /** Returns whether the version had its 50th bad answer some time ago, and nothing since has favoured it. */
    private boolean isHeld(long now) {
        return manyBadSince != null
                && now - manyBadSince >= limits.rollback().toNanos() - ROLLBACK_MARGIN_NANOS
                && comparison.against(now) >= 0;
    }

    /**
     * Records that a request got a place.
     *
     * @param route The name of the route of the request.
     * @param newVersion Whether the target has the new version.
     * @param target The identity of the target.
     * @param now The current monotonic time in nanoseconds.
     */
    public synchronized void placed(String route, boolean newVersion, String target, long now) {
        newPlaced += newVersion ? 1 : 0;
        newInFlight += newVersion ? 1 : 0;
        oldPlaced += newVersion ? 0 : 1;
        comparison.placed(route, newVersion);
        noteBurst(now);
    }

    /** Begins a burst when the share allows enough requests for the load of old targets, and ends it at that load. */
    private void noteBurst(long now) {
        double load = oldTargets == 0 ? 0 : activeCount * (double) oldPlacesInUse / oldTargets;
        double missing = Math.max(1, load - newInFlight);
        double elapsed = Math.max(1, now - startedAt);
        double expected = share() * (oldPlaced + newPlaced) / elapsed * moveAfter;
        double credit = credit();
        if (inBurst) {
            inBurst = credit >= 1 && (newInFlight < load || credit >= 2 * missing);
        } else {
            inBurst = credit >= Math.max(1, Math.min(missing, expected / BURSTS));
        }
    }

    /**
     * Records that a place was given back unused, or that its target did not run the request.
     *
     * @param newVersion Whether the target has the new version.
     */
    public synchronized void notRun(boolean newVersion) {
        if (newVersion) {
            newPlaced = Math.max(0, newPlaced - 1);
            newInFlight = Math.max(0, newInFlight - 1);
        } else {
            oldPlaced = Math.max(0, oldPlaced - 1);
        }
    }

    /**
     * Records how a run ended.
     *
     * @param report The end of the run.
     * @param now The current monotonic time in nanoseconds.
     */
    public synchronized void ended(RunReport report, long now) {
        boolean bad = comparison.add(report, now);
        if (!report.newVersion()) {
            return;
        }
        newInFlight = Math.max(0, newInFlight - 1);
        newEnded++;
        if (bad) {
            newBad++;
            noteBadAnswers(now);
            judge(now);
        }
    }

    private void noteBadAnswers(long now) {
        if (manyBadSince == null && newBad + badElsewhere >= BAD_ANSWERS) {
            manyBadSince = now;
        }
    }

    /**
     * Condemns the version if the evidence suffices. Some time after the 50th bad answer the larger likelihood decides,
     * once only: repeated, this would condemn a sound version by chance.
     */
    private void judge(long now) {
        if (condemned != null || phase.isFinal()) {
            return;
        }
        Optional<String> where = comparison.bad(newInFlight, now);
        if (where.isPresent()) {
            condemned = "bad on " + where.get() + ": " + evidence(now);
        } else if (manyBadSince != null
                && !judgedManyBad
                && now - manyBadSince >= limits.rollback().toNanos() / 2) {
            judgedManyBad = true;
            if (comparison.against(now) - comparison.earlyFailures(newInFlight) > SequentialTest.THRESHOLD / 2) {
                condemned = "bad after " + BAD_ANSWERS + " bad answers: " + evidence(now);
            }
        }
    }

    /**
     * Returns the targets of the new version that may get requests now.
     *
     * @param newTargets The identities of the usable targets of the new version.
     * @param oldTargets The number of usable targets of other versions.
     * @param now The current monotonic time in nanoseconds.
     */
    public synchronized Set<String> active(Collection<String> newTargets, int oldTargets, long now) {
        if (newTargets.size() != sorted.size() || !known.containsAll(newTargets)) {
            sorted = List.copyOf(new TreeSet<>(newTargets));
            known = Set.copyOf(newTargets);
        }
        this.oldTargets = oldTargets;
        comparison.severalTargets(sorted.size() > 1);
        if (condemned != null || phase instanceof RolloutPhase.RolledBack) {
            return Set.of();
        }
        double share = share();
        activeCount = (int) Math.max(MIN_ACTIVE, Math.round(share * oldTargets / (1 - share)));
        if (!(phase instanceof RolloutPhase.Canary) || sorted.size() <= activeCount) {
            return known;
        }
        long rotation = Math.max(MIN_ROTATION_NANOS, Math.min(MAX_ROTATION_NANOS, moveAfter / sorted.size()));
        int first = (int) Math.floorMod((now - startedAt) / rotation, (long) sorted.size());
        Set<String> result = new LinkedHashSet<>();
        for (int position = 0; position < activeCount; position++) {
            result.add(sorted.get((first + position) % sorted.size()));
        }
        return result;
    }

    /**
     * Returns the next phase if it is due. The caller adopts it once its write is acknowledged.
     *
     * @param view What the dispatcher sees of the service.
     * @param now The current monotonic time in nanoseconds.
     */
    public synchronized Optional<RolloutPhase> decide(RolloutView view, long now) {
        stateFresh = view.stateFresh();
        checkedAt = now;
        oldPlacesInUse = view.oldPlacesInUse();
        if (phase.isFinal()) {
            return Optional.empty();
        }
        comparison.advance(now, progress(now));
        judge(now);
        if (phase instanceof RolloutPhase.Moving) {
            judgeExposure(now);
        }
        if (condemned != null) {
            return Optional.of(new RolloutPhase.RolledBack(condemned));
        }
        return phase instanceof RolloutPhase.Moving ? completed(view, now) : moved(view, now);
    }

    /** Condemns a version that gets all requests and whose evidence does not favour it, before it can get too many. */
    private void judgeExposure(long now) {
        double elapsed = Math.max(1, now - startedAt);
        double all = (oldPlaced + newPlaced) * Math.max(1, order.duration().toNanos() / elapsed);
        if (condemned == null
                && !judgedExposure
                && newPlaced >= EXPOSURE_CHECK * (limits.share() * all + limits.slack())) {
            judgedExposure = true;
            if (comparison.against(now) > comparison.earlyFailures(newInFlight)) {
                condemned = "the evidence does not favour it: " + evidence(now);
            }
        }
    }

    /** Returns the part of the time before the move that has passed. */
    private double progress(long now) {
        return moveAfter == 0 ? 1 : Math.min(1, (now - startedAt) / (double) moveAfter);
    }

    private Optional<RolloutPhase> moved(RolloutView view, long now) {
        long elapsed = elapsed(now).toNanos();
        if (elapsed < moveAfter) {
            return Optional.empty();
        }
        boolean places = view.newPlaces() > 0 && view.newPlaces() >= (1 + SPARE_PLACES) * view.placesInUse();
        boolean good = mayMove(now);
        if (good && places && view.stateFresh()) {
            return Optional.of(new RolloutPhase.Moving());
        }
        if (elapsed < order.duration().toNanos() || (good && places)) {
            return Optional.empty();
        }
        return Optional.of(new RolloutPhase.RolledBack((good
                        ? "too few places at new targets by the deadline: " + view.newPlaces() + " for "
                                + view.placesInUse() + " in use; "
                        : "no good verdict by the deadline: ")
                + evidence(now)));
    }

    /**
     * Returns whether the verdict is good. When the move is due, the larger likelihood decides where the test is still
     * open: at low rates a version cannot get enough requests within the share. With so few requests in all that the
     * slack covers them, no evidence is needed.
     */
    private boolean mayMove(long now) {
        if (comparison.isGood()) {
            return true;
        }
        double perSecond = (oldPlaced + newPlaced) / Math.max(1, (now - startedAt) / 1e9);
        boolean enough = newEnded >= MIN_RUNS || perSecond * DETECTION_SECONDS <= limits.slack() / 2.0;
        return enough && comparison.isAtMost(OPEN_SUM, SequentialTest.THRESHOLD / 2, now);
    }

    private Optional<RolloutPhase> completed(RolloutView view, long now) {
        boolean settled = now - phaseSince >= SETTLE_NANOS;
        boolean empty = view.oldPlacesInUse() == 0 && view.allReported() && view.stateFresh();
        long left = order.duration().toNanos() - elapsed(now).toNanos();
        boolean good = left > LAST_CALL_NANOS
                ? comparison.isGood() && !movedOnOpenEvidence
                : (comparison.against(now) <= 0 && comparison.isAtMost(0, SequentialTest.THRESHOLD / 2, now))
                        || left < -OPEN_EVIDENCE_NANOS;
        return settled && empty && good ? Optional.of(new RolloutPhase.Completed()) : Optional.empty();
    }

    /**
     * Returns the evidence so far.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public synchronized RolloutEvidence evidence(long now) {
        double against = comparison.against(now);
        Verdict verdict = condemned != null || comparison.bad(newInFlight, now).isPresent()
                ? Verdict.BAD
                : comparison.isGood() ? Verdict.GOOD : Verdict.OPEN;
        return new RolloutEvidence(
                comparison.routes(progress(now), now),
                verdict,
                against,
                newPlaced,
                oldPlaced,
                newBad + badElsewhere,
                newPlaced / (double) Math.max(1, newPlaced + oldPlaced));
    }
}
