package org.tanagermoor.policy.batch;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;
import org.tanagermoor.policy.fleet.TeamId;

/**
 * Chooses the job whose chunk is lent next. Teams share by weight with start-time fair queueing. Within a team, the
 * jobs that can all be completed in time come first, ordered by least slack to the due time; the other jobs follow,
 * ordered by least remaining work. Under overload, without that selection, each job would wait until it is late as
 * well.
 *
 * @param served The number of items lent to each team, divided by its weight.
 * @param virtualTime The start tag of the team that was chosen last. A team that was idle starts from there.
 */
public record TeamShares(Map<TeamId, Double> served, double virtualTime) {

    /** Orders jobs by their remaining work, the least first. */
    private static final Comparator<Candidate> BY_WORK =
            Comparator.comparingLong(Candidate::workMillis).thenComparing(Candidate::job);

    /** The shares before any chunk was lent. */
    public static final TeamShares NONE = new TeamShares(HashMap.empty(), 0);

    /**
     * Chooses a job.
     *
     * @param candidates The jobs that have a chunk to lend.
     * @param nowMillis The current wall-clock time in milliseconds.
     * @return The job, or empty if there are no candidates.
     */
    public Optional<Candidate> choose(Collection<Candidate> candidates, long nowMillis) {
        return candidates.stream()
                .map(Candidate::team)
                .min(Comparator.comparingDouble(this::startTag).thenComparing(Comparator.naturalOrder()))
                .flatMap(team -> chooseWithinTeam(
                        candidates.stream()
                                .filter(candidate -> candidate.team().equals(team))
                                .toList(),
                        nowMillis));
    }

    /**
     * Chooses a job of one team.
     *
     * @param candidates The jobs of the team that have a chunk to lend.
     * @param nowMillis The current wall-clock time in milliseconds.
     * @return The job, or empty if there are no candidates.
     */
    private static Optional<Candidate> chooseWithinTeam(Collection<Candidate> candidates, long nowMillis) {
        return feasible(candidates, nowMillis).stream()
                .min(Comparator.comparingLong((Candidate candidate) -> candidate.slack(nowMillis))
                        .thenComparing(Candidate::job))
                .or(() -> candidates.stream().min(BY_WORK));
    }

    /**
     * Returns a largest set of jobs that can all be completed in time when they run one after the other (Moore-Hodgson
     * algorithm).
     *
     * @param nowMillis The current wall-clock time in milliseconds.
     */
    private static Collection<Candidate> feasible(Collection<Candidate> candidates, long nowMillis) {
        PriorityQueue<Candidate> scheduled = new PriorityQueue<>(BY_WORK.reversed());
        long finishMillis = nowMillis;
        for (Candidate candidate : candidates.stream()
                .sorted(Comparator.comparingLong(Candidate::dueMillis).thenComparing(Candidate::job))
                .toList()) {
            scheduled.add(candidate);
            finishMillis += candidate.workMillis();
            if (finishMillis > candidate.dueMillis()) {
                finishMillis -= scheduled.remove().workMillis();
            }
        }
        return scheduled;
    }

    /**
     * Returns the shares after a chunk was lent.
     *
     * @param candidate The job to which the chunk belongs.
     * @param items The number of items of the chunk.
     */
    public TeamShares lent(Candidate candidate, int items) {
        double startTag = startTag(candidate.team());
        return new TeamShares(served.put(candidate.team(), startTag + items / candidate.weight()), startTag);
    }

    /** Returns the start tag of a team; the team with the smallest tag is served next. */
    private double startTag(TeamId team) {
        return Math.max(served.getOrElse(team, 0.0), virtualTime);
    }

    /**
     * A job that has a chunk to lend.
     *
     * @param job The identity of the job.
     * @param team The team that owns the job.
     * @param weight The weight of the team, above 0.
     * @param dueMillis The wall-clock time in milliseconds at which the job is due.
     * @param workMillis The time in milliseconds that the remaining work of the job is expected to take.
     */
    public record Candidate(String job, TeamId team, double weight, long dueMillis, long workMillis) {

        /**
         * Returns the time that can pass without work on the job before it becomes late.
         *
         * @param nowMillis The current wall-clock time in milliseconds.
         * @return The slack in milliseconds, which is negative if the job cannot be completed in time.
         */
        public long slack(long nowMillis) {
            return dueMillis - nowMillis - workMillis;
        }
    }
}
