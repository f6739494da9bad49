package org.tanagermoor.batch.steward;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.tanagermoor.batch.proto.BatchAnswer;
import org.tanagermoor.batch.proto.JobRow;
import org.tanagermoor.batch.proto.LeaseKey;
import org.tanagermoor.batch.proto.LentChunk;
import org.tanagermoor.batch.store.JobKey;
import org.tanagermoor.batch.store.JobLayout;
import org.tanagermoor.batch.store.JobRecord;
import org.tanagermoor.batch.store.ProgressLog;
import org.tanagermoor.batch.store.Protos;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.batch.ChunkLease;
import org.tanagermoor.policy.batch.JobState;
import org.tanagermoor.policy.batch.Outcomes;
import org.tanagermoor.policy.batch.Progress;
import reactor.core.publisher.MonoSink;

/** A job that this instance is the steward of. Used by the thread of the duty only. */
final class JobRun {

    /** The entries that are recorded with one write. */
    private static final int MAX_WRITE_ENTRIES = 256;

    /** The job, with the epoch of this steward. */
    private final JobRecord job;

    /** How the items lie in the objects. */
    private final JobLayout layout;

    /** When the job was taken over, as monotonic time in nanoseconds. */
    private final long takenOverAt;

    /** The names of the result objects that are recorded. */
    private final Set<String> recorded = new HashSet<>();

    /** What waits to be recorded, in order. */
    private final Deque<PendingEntries> pending = new ArrayDeque<>();

    /** What is being recorded. */
    private final List<PendingEntries> inFlight = new ArrayList<>();

    /** Those who wait until the cancelled job has stopped. */
    private final List<MonoSink<Either<Failure, BatchAnswer>>> stopWaiters = new ArrayList<>();

    /** Where the progress goes on. */
    private ProgressLog log;

    /** The state. */
    private JobState state;

    /** The items that were recorded since the job was taken over. */
    private int itemsRecorded;

    /** Whether the members were told that there are chunks to lend. */
    private boolean announced;

    /** The monotonic time in nanoseconds from which a failed write is repeated. */
    private long nextWriteAt;

    /**
     * Creates a run.
     *
     * @param loaded The job as it was taken over.
     * @param state The state.
     * @param now The present monotonic time in nanoseconds.
     */
    JobRun(LoadedJob loaded, JobState state, long now) {
        job = loaded.job();
        layout = loaded.layout();
        log = loaded.log();
        this.state = state;
        takenOverAt = now;
        nextWriteAt = now;
        for (Progress entry : loaded.log().entries()) {
            if (entry instanceof Progress.Completed completed) {
                recorded.add(completed.object());
            }
        }
    }

    /**
     * Returns the job.
     *
     * @return The job.
     */
    JobRecord job() {
        return job;
    }

    /**
     * Returns the key of the job.
     *
     * @return The key of the job.
     */
    JobKey key() {
        return job.key();
    }

    /**
     * Returns the state.
     *
     * @return The state.
     */
    JobState state() {
        return state;
    }

    /**
     * Sets the state.
     *
     * @param value The state.
     */
    void state(JobState value) {
        state = value;
    }

    /**
     * Returns whether the members are to be told now that there are chunks to lend.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return {@code true} once.
     */
    boolean announce(long now) {
        boolean first = !announced && state.lendable(now);
        announced = announced || first;
        return first;
    }

    /** Tells the members again, as a chunk came back. */
    void announceAgain() {
        announced = false;
    }

    /**
     * Returns where the progress goes on.
     *
     * @return Where the progress goes on.
     */
    ProgressLog log() {
        return log;
    }

    /**
     * Returns whether a result object is recorded.
     *
     * @param object The name of the object.
     * @return Whether it is recorded.
     */
    boolean isRecorded(String object) {
        return recorded.contains(object);
    }

    /**
     * Adds one who waits for a result object that waits to be recorded.
     *
     * @param object The name of the object.
     * @param answer Takes the answer.
     * @return Whether the object waits to be recorded.
     */
    boolean joinPending(String object, MonoSink<Either<Failure, BatchAnswer>> answer) {
        for (PendingEntries entry : inFlight) {
            if (entry.includes(object)) {
                entry.answers().add(answer);
                return true;
            }
        }
        for (PendingEntries entry : pending) {
            if (entry.includes(object)) {
                entry.answers().add(answer);
                return true;
            }
        }
        return false;
    }

    /**
     * Adds entries to be recorded.
     *
     * @param entries The entries.
     * @param answers Those who wait for them.
     */
    void add(List<Progress> entries, List<MonoSink<Either<Failure, BatchAnswer>>> answers) {
        pending.addLast(new PendingEntries(entries, new ArrayList<>(answers)));
    }

    /**
     * Returns the number of reports and losses that are not recorded.
     *
     * @return The number.
     */
    int backlog() {
        return pending.size() + inFlight.size();
    }

    /**
     * Takes entries to be recorded with one write, unless there is a write already.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return The entries, none if nothing is to be written now.
     */
    List<Progress> takeEntries(long now) {
        if (!inFlight.isEmpty() || now - nextWriteAt < 0 || state.cancelled()) {
            return List.of();
        }
        List<Progress> entries = new ArrayList<>();
        while (!pending.isEmpty() && entries.size() < MAX_WRITE_ENTRIES) {
            PendingEntries next = pending.removeFirst();
            inFlight.add(next);
            entries.addAll(next.entries());
        }
        return entries;
    }

    /**
     * Returns the row that ends the job, if entries complete it.
     *
     * @param entries The entries that are recorded next.
     * @param nowMillis The present wall-clock time in milliseconds.
     * @return The row, or nothing if items remain.
     */
    Optional<JobRow> done(List<Progress> entries, long nowMillis) {
        JobState next = state.recorded(entries);
        if (!next.finished()) {
            return Optional.empty();
        }
        Outcomes outcomes = next.outcomes();
        return Optional.of(job.row().toBuilder()
                .setState(JobRow.State.DONE)
                .setEndedMillis(nowMillis)
                .setCompleted(outcomes.completed())
                .setFailed(outcomes.failed())
                .setUnknown(outcomes.unknown())
                .build());
    }

    /**
     * Takes in that the entries of the write are durable.
     *
     * @param next Where the progress goes on.
     * @return The number of result objects.
     */
    int writeSucceeded(ProgressLog next) {
        log = next;
        int objects = 0;
        for (PendingEntries entry : inFlight) {
            state = state.recorded(entry.entries());
            itemsRecorded += entry.entries().stream()
                    .mapToInt(progress -> progress.outcomes().total())
                    .sum();
            for (Progress progress : entry.entries()) {
                if (progress instanceof Progress.Completed completed) {
                    recorded.add(completed.object());
                    objects++;
                }
            }
            entry.answers().forEach(answer -> answer.success(Either.right(StewardAnswers.done(true))));
        }
        inFlight.clear();
        return objects;
    }

    /**
     * Puts the entries of a failed write back.
     *
     * @param from The monotonic time in nanoseconds from which to write again.
     */
    void writeFailed(long from) {
        for (int index = inFlight.size() - 1; index >= 0; index--) {
            pending.addFirst(inFlight.get(index));
        }
        inFlight.clear();
        nextWriteAt = from;
    }

    /**
     * Takes in how the write that ran while the job was cancelled ended.
     *
     * @param done Whether it took effect.
     */
    void endWriteAfterCancel(boolean done) {
        inFlight.forEach(entry -> entry.answer(Either.right(StewardAnswers.done(done))));
        inFlight.clear();
    }

    /**
     * Cancels the job. What is not recorded is dropped.
     *
     * @param answer Takes the answer once no item can start.
     */
    void cancel(MonoSink<Either<Failure, BatchAnswer>> answer) {
        stopWaiters.add(answer);
        state = state.cancel();
        pending.forEach(entry -> entry.answer(Either.right(StewardAnswers.done(false))));
        pending.clear();
    }

    /**
     * Answers those who wait until the cancelled job has stopped.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return Whether the job has stopped.
     */
    boolean answerIfStopped(long now) {
        if (!state.stopped(now)) {
            return false;
        }
        stopWaiters.forEach(answer -> answer.success(Either.right(StewardAnswers.done(true))));
        stopWaiters.clear();
        return true;
    }

    /**
     * Answers all who wait with a failure, as this instance gives the job up.
     *
     * @param failure The failure.
     */
    void release(Failure failure) {
        pending.forEach(entry -> entry.answer(Either.left(failure)));
        inFlight.forEach(entry -> entry.answer(Either.left(failure)));
        stopWaiters.forEach(answer -> answer.success(Either.left(failure)));
        pending.clear();
        inFlight.clear();
        stopWaiters.clear();
    }

    /**
     * Returns the time that the rest of the job is expected to take, from its pace so far.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return The time in milliseconds; 0 while the pace is not known.
     */
    long estimatedMillis(long now) {
        if (itemsRecorded == 0) {
            return 0;
        }
        return (now - takenOverAt) / 1_000_000 * state.remaining() / itemsRecorded;
    }

    /**
     * Writes a lease for its worker.
     *
     * @param lease The lease.
     * @param leaseMillis The duration of the lease in milliseconds.
     * @return The message.
     */
    LentChunk lent(ChunkLease lease, int leaseMillis) {
        int first = lease.chunk().items().first();
        JobLayout.Part object = layout.object(first);
        return LentChunk.newBuilder()
                .setLease(LeaseKey.newBuilder().setJob(key().id()).setLease(lease.id()))
                .setTeam(key().team())
                .setKey(key().key())
                .setService(job.row().getService())
                .setUpload(job.row().getUpload())
                .setDueMillis(job.row().getDueMillis())
                .setRepeatable(job.row().getRepeatable())
                .setJobVersion(job.version())
                .setObject(object.digest())
                .setObjectFirst(object.from())
                .setCell(layout.cell(first))
                .addAllItems(Protos.ranges(lease.chunk().items()))
                .setLeaseMillis(leaseMillis)
                .build();
    }

    /**
     * Entries that wait to be recorded.
     *
     * @param entries The entries.
     * @param answers Those who wait for them.
     */
    private record PendingEntries(List<Progress> entries, List<MonoSink<Either<Failure, BatchAnswer>>> answers) {

        /**
         * Returns whether a result object is among the entries.
         *
         * @param object The name of the object.
         * @return Whether it is among them.
         */
        private boolean includes(String object) {
            return entries.stream()
                    .anyMatch(entry -> entry instanceof Progress.Completed completed
                            && completed.object().equals(object));
        }

        /**
         * Answers all who wait.
         *
         * @param result The answer.
         */
        private void answer(Either<Failure, BatchAnswer> result) {
            answers.forEach(answer -> answer.success(result));
        }
    }
}
