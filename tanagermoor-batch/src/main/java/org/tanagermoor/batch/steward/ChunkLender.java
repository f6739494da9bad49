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

/** Lends chunks to workers and renews their leases. */
final class ChunkLender {

    /** The number of unrecorded reports and losses, over all jobs, at which lending stops. */
    private static final int MAX_BACKLOG = 4_096;

    /** The amount of work that was lent to each team, by which the next job is chosen. */
    private TeamShares shares = TeamShares.NONE;

    private final StewardContext context;

    ChunkLender(StewardContext context) {
        this.context = context;
    }

    /** Lends chunks until the requested number of items is reached or no chunk may be lent. */
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
     * Lends a chunk of the job that is next by the shares of the teams.
     *
     * @param worker The instance that asks.
     * @param now The current monotonic time in nanoseconds.
     * @return The chunk, or empty if no chunk may be lent.
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
     * Records that a chunk was lent.
     *
     * @param state The state with the new lease.
     * @param chosen The job as it was chosen.
     * @return The message for the worker.
     */
    private LentChunk lent(JobRun run, JobState state, TeamShares.Candidate chosen) {
        run.state(state);
        ChunkLease newest = state.leases().last()._2();
        shares = shares.lent(chosen, newest.chunk().items().size());
        context.metrics().chunksLent().mark();
        return run.lent(newest, Math.toIntExact(context.lease().toMillis()));
    }

    /** Returns the weight of a team, 1 if the team is unknown. */
    private double weight(TeamId team) {
        return context.membership()
                .configuration()
                .teams()
                .get(team)
                .map(Team::weight)
                .getOrElse(1.0);
    }

    /** Renews the leases that the instance still has. */
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
