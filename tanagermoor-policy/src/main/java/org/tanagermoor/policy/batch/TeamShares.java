package org.tanagermoor.policy.batch;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;
import org.tanagermoor.policy.fleet.TeamId;

/**
 * Chooses the job whose chunk is lent next: weighted fair between teams by start-time fair queueing. Within a team, the
 * jobs that can end in time together go first, by least slack to the due time; the others go by least work left.
 * Answers a load of more jobs than fit: without that choice each job waits until it is late, too.
 *
 * @param served The items lent to each team, divided by its weight.
 * @param virtualTime The value of the team that was chosen last. A team that was idle starts from there.
 */
public record TeamShares(Map<TeamId, Double> served, double virtualTime) {

    /** The order of jobs by the work that is left of them, the least first. */
    private static final Comparator<Candidate> BY_WORK =
            Comparator.comparingLong(Candidate::workMillis).thenComparing(Candidate::job);

    /** Nothing was lent. */
    public static final TeamShares NONE = new TeamShares(HashMap.empty(), 0);

    /**
     * Chooses a job.
     *
     * @param candidates The jobs of which a chunk may be lent.
     * @param nowMillis The current wall-clock time in milliseconds.
     * @return The job, or nothing if there are no candidates.
     */
    public Optional<Candidate> choose(Collection<Candidate> candidates, long nowMillis) {
        return candidates.stream()
                .map(Candidate::team)
                .min(Comparator.comparingDouble(this::tag).thenComparing(Comparator.naturalOrder()))
                .flatMap(team -> chooseOf(
                        candidates.stream()
                                .filter(candidate -> candidate.team().equals(team))
                                .toList(),
                        nowMillis));
    }

    /**
     * Chooses a job of one team.
     *
     * @param candidates The jobs of the team of which a chunk may be lent.
     * @param nowMillis The current wall-clock time in milliseconds.
     * @return The job, or nothing if there are no candidates.
     */
    private static Optional<Candidate> chooseOf(Collection<Candidate> candidates, long nowMillis) {
        return inTime(candidates, nowMillis).stream()
                .min(Comparator.comparingLong((Candidate candidate) -> candidate.slack(nowMillis))
                        .thenComparing(Candidate::job))
                .or(() -> candidates.stream().min(BY_WORK));
    }

    /**
     * Returns as many jobs as can end in time together, one after the other (algorithm of Moore and Hodgson).
     *
     * @param candidates The jobs.
     * @param nowMillis The current wall-clock time in milliseconds.
     * @return Those that can end in time.
     */
    private static Collection<Candidate> inTime(Collection<Candidate> candidates, long nowMillis) {
        PriorityQueue<Candidate> kept = new PriorityQueue<>(BY_WORK.reversed());
        long end = nowMillis;
        for (Candidate candidate : candidates.stream()
                .sorted(Comparator.comparingLong(Candidate::dueMillis).thenComparing(Candidate::job))
                .toList()) {
            kept.add(candidate);
            end += candidate.workMillis();
            if (end > candidate.dueMillis()) {
                end -= kept.remove().workMillis();
            }
        }
        return kept;
    }

    /**
     * Takes in that a chunk was lent.
     *
     * @param candidate The job.
     * @param items The items of the chunk.
     */
    public TeamShares lent(Candidate candidate, int items) {
        double tag = tag(candidate.team());
        return new TeamShares(served.put(candidate.team(), tag + items / candidate.weight()), tag);
    }

    /** Returns the value by which a team is compared. */
    private double tag(TeamId team) {
        return Math.max(served.getOrElse(team, 0.0), virtualTime);
    }

    /**
     * A job of which a chunk may be lent.
     *
     * @param job The identity of the job.
     * @param team The team.
     * @param weight The weight of the team, above 0.
     * @param dueMillis The wall-clock time in milliseconds at which the job is due.
     * @param workMillis The time in milliseconds that the rest of the job is expected to take.
     */
    public record Candidate(String job, TeamId team, double weight, long dueMillis, long workMillis) {

        /**
         * Returns the time that may be lost before the job is late.
         *
         * @param nowMillis The current wall-clock time in milliseconds.
         * @return The slack in milliseconds, which is negative for a job that is late.
         */
        public long slack(long nowMillis) {
            return dueMillis - nowMillis - workMillis;
        }
    }
}
