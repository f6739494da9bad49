package org.tanagermoor.batch.steward;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tanagermoor.batch.proto.BatchAnswer;
import org.tanagermoor.batch.proto.LeaseKey;
import org.tanagermoor.batch.proto.LentChunk;
import org.tanagermoor.batch.store.Protos;
import org.tanagermoor.policy.batch.ChunkLease;
import org.tanagermoor.policy.batch.JobState;
import org.tanagermoor.policy.batch.TeamShares;
import org.tanagermoor.policy.configuration.Team;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.TeamId;

/** Lends chunks and renews their leases. */
final class ChunkLender {

    /** The reports and losses that may wait to be recorded before lending stops. */
    private static final int MAX_BACKLOG = 4_096;

    /** What was lent to each team. */
    private TeamShares shares = TeamShares.NONE;

    /** The parts that the steward shares. */
    private final StewardContext context;

    /**
     * Creates this part of the steward.
     *
     * @param context The parts that the steward shares.
     */
    ChunkLender(StewardContext context) {
        this.context = context;
    }

    /**
     * Lends chunks.
     *
     * @param message The request.
     */
    void lend(StewardMessage.ChunksRequested message) {
        if (!context.mayAct()) {
            message.answer().success(Either.left(StewardAnswers.notSteward()));
            return;
        }
        long now = context.time().nanos();
        BatchAnswer.Builder answer = BatchAnswer.newBuilder();
        int wantedItems = message.ask().getItems();
        boolean full =
                context.runs().values().stream().mapToInt(JobRun::backlog).sum() >= MAX_BACKLOG;
        while (wantedItems > 0 && !full) {
            Optional<LentChunk> chunk = lendOne(message.from(), now);
            if (chunk.isEmpty()) {
                break;
            }
            answer.addChunks(chunk.get());
            wantedItems -= Protos.items(chunk.get().getItemsList()).size();
        }
        message.answer().success(Either.right(answer.build()));
    }

    /**
     * Lends a chunk.
     *
     * @param worker The instance that asks.
     * @param now The present monotonic time in nanoseconds.
     * @return The chunk, if there is one to lend.
     */
    private Optional<LentChunk> lendOne(InstanceId worker, long now) {
        List<TeamShares.Candidate> candidates = new ArrayList<>();
        context.runs().forEach((id, run) -> {
            if (run.state().lendable(now)) {
                TeamId team = TeamId.of(run.key().team());
                candidates.add(new TeamShares.Candidate(
                        id, team, weight(team), run.job().row().getDueMillis(), run.estimatedMillis(now)));
            }
        });
        return shares.choose(candidates, context.time().wallMillis()).flatMap(chosen -> {
            JobRun run = context.runs().get(chosen.job());
            if (run == null) {
                return Optional.empty();
            }
            Option<JobState> next =
                    run.state().lend(worker, now, now + context.lease().toNanos());
            return next.map(state -> lent(run, state, chosen)).toJavaOptional();
        });
    }

    /**
     * Takes in that a chunk was lent.
     *
     * @param run The job.
     * @param state The state with the new lease.
     * @param chosen The job as it was chosen.
     * @return The chunk.
     */
    private LentChunk lent(JobRun run, JobState state, TeamShares.Candidate chosen) {
        run.state(state);
        ChunkLease newest = state.leases().last()._2();
        shares = shares.lent(chosen, newest.chunk().items().size());
        context.metrics().chunksLent().mark();
        return run.lent(newest, Math.toIntExact(context.lease().toMillis()));
    }

    /**
     * Returns the weight of a team.
     *
     * @param team The team.
     * @return The weight, 1 for a team that is not known.
     */
    private double weight(TeamId team) {
        return context.membership()
                .configuration()
                .teams()
                .get(team)
                .map(Team::weight)
                .getOrElse(1.0);
    }

    /**
     * Renews leases.
     *
     * @param message The request.
     */
    void renew(StewardMessage.RenewalRequested message) {
        if (!context.mayAct()) {
            message.answer().success(Either.left(StewardAnswers.notSteward()));
            return;
        }
        long expiry = context.time().nanos() + context.lease().toNanos();
        BatchAnswer.Builder answer = BatchAnswer.newBuilder();
        for (LeaseKey key : message.renew().getLeasesList()) {
            JobRun run = context.runs().get(key.getJob());
            if (run == null) {
                continue;
            }
            run.state().renew(key.getLease(), message.from(), expiry).peek(state -> {
                run.state(state);
                answer.addRenewed(key);
            });
        }
        message.answer().success(Either.right(answer.build()));
    }
}
