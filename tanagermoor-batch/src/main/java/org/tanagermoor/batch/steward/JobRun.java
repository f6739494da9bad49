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

/**
 * A job whose steward is this instance: its state, and the progress entries that are not recorded yet. Used only by
 * the thread of the duty.
 */
final class JobRun {

    /** The number of entries at which no further report is added to a write, so a write may have more entries. */
    private static final int FULL_WRITE_ENTRIES = 256;

    /** The job, with the epoch of this steward. */
    private final JobRecord job;

    private final JobLayout layout;

    /** The monotonic time of the takeover in nanoseconds. */
    private final long takenOverAt;

    /** The names of the result objects that are recorded. */
    private final Set<String> recorded = new HashSet<>();

    /** The entries that wait for a write, in order. */
    private final Deque<PendingEntries> pending = new ArrayDeque<>();

    /** The entries of the write that is in flight. */
    private final List<PendingEntries> inFlight = new ArrayList<>();

    /** Receive an answer when the cancelled job has stopped. */
    private final List<MonoSink<Either<Failure, BatchAnswer>>> stopWaiters = new ArrayList<>();

    /** The position at which the next entries are appended. */
    private ProgressLog log;

    private JobState state;

    /** The number of items that were recorded since the job was taken over. */
    private int itemsRecorded;

    /** Whether the members have been notified that there are chunks to lend. */
    private boolean announced;

    /** The monotonic time in nanoseconds before which no write starts, as the last one failed. */
    private long nextWriteAt;

    /**
     * Creates a run.
     *
     * @param loaded The job as it was taken over.
     * @param state The state that follows from the recorded progress.
     * @param now The current monotonic time in nanoseconds.
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

    JobRecord job() {
        return job;
    }

    JobKey key() {
        return job.key();
    }

    JobState state() {
        return state;
    }

    void state(JobState value) {
        state = value;
    }

    /**
     * Returns {@code true} once when there are chunks to lend, so that the members are notified.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    boolean announce(long now) {
        boolean first = !announced && state.lendable(now);
        announced = announced || first;
        return first;
    }

    /** Lets the members be notified again, because a chunk has been returned. */
    void announceAgain() {
        announced = false;
    }

    /** Returns the position at which the next entries are appended. */
    ProgressLog log() {
        return log;
    }

    boolean isRecorded(String object) {
        return recorded.contains(object);
    }

    /**
     * Adds a waiter to a result object that is waiting to be recorded.
     *
     * @param object The name of the object.
     * @param answer Receives the answer when the object is recorded.
     * @return {@code false} if the object is not waiting to be recorded.
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
     * @param answers Receive the answer when the entries are recorded.
     */
    void add(List<Progress> entries, List<MonoSink<Either<Failure, BatchAnswer>>> answers) {
        pending.addLast(new PendingEntries(entries, new ArrayList<>(answers)));
    }

    /** Returns the number of reports and losses that are not recorded yet. */
    int backlog() {
        return pending.size() + inFlight.size();
    }

    /**
     * Takes the entries of the next write.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The entries; none if a write is in flight, the delay after a failed write has not passed, or the
     *     job was cancelled.
     */
    List<Progress> takeEntries(long now) {
        if (!inFlight.isEmpty() || now - nextWriteAt < 0 || state.cancelled()) {
            return List.of();
        }
        List<Progress> entries = new ArrayList<>();
        while (!pending.isEmpty() && entries.size() < FULL_WRITE_ENTRIES) {
            PendingEntries next = pending.removeFirst();
            inFlight.add(next);
            entries.addAll(next.entries());
        }
        return entries;
    }

    /**
     * Returns the row that ends the job if the given entries complete it.
     *
     * @param entries The entries that are recorded next.
     * @param nowMillis The current wall-clock time in milliseconds.
     * @return The row, or empty if items remain.
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
     * Applies the entries of the write, which are durable now, and answers their waiters.
     *
     * @param next The position at which the next entries are appended.
     * @return The number of result objects that were recorded.
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
     * Returns the entries of a failed write to the front of the pending ones.
     *
     * @param from The monotonic time in nanoseconds from which the write may be repeated.
     */
    void writeFailed(long from) {
        for (int index = inFlight.size() - 1; index >= 0; index--) {
            pending.addFirst(inFlight.get(index));
        }
        inFlight.clear();
        nextWriteAt = from;
    }

    /**
     * Answers the waiters of the write that was in flight when the job was cancelled.
     *
     * @param done Whether the write took effect.
     */
    void endWriteAfterCancel(boolean done) {
        inFlight.forEach(entry -> entry.answer(Either.right(StewardAnswers.done(done))));
        inFlight.clear();
    }

    /**
     * Cancels the job. Entries that no write has taken are dropped.
     *
     * @param answer Receives the answer when no item of the job can start any more.
     */
    void cancel(MonoSink<Either<Failure, BatchAnswer>> answer) {
        stopWaiters.add(answer);
        state = state.cancel();
        pending.forEach(entry -> entry.answer(Either.right(StewardAnswers.done(false))));
        pending.clear();
    }

    /**
     * Answers those who wait for the cancelled job to stop, if it has stopped.
     *
     * @param now The current monotonic time in nanoseconds.
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

    /** Answers all waiters with a failure, because this instance releases the job. */
    void release(Failure failure) {
        pending.forEach(entry -> entry.answer(Either.left(failure)));
        inFlight.forEach(entry -> entry.answer(Either.left(failure)));
        stopWaiters.forEach(answer -> answer.success(Either.left(failure)));
        pending.clear();
        inFlight.clear();
        stopWaiters.clear();
    }

    /**
     * Estimates the time that the rest of the job takes, from its pace since the takeover.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The time in milliseconds; 0 while the pace is not known.
     */
    long estimatedMillis(long now) {
        if (itemsRecorded == 0) {
            return 0;
        }
        return (now - takenOverAt) / 1_000_000 * state.remaining() / itemsRecorded;
    }

    /**
     * Creates the message that lends a chunk to its worker.
     *
     * @param leaseMillis The duration of the lease in milliseconds.
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
     * Entries that wait to be recorded together.
     *
     * @param entries The entries of one report or of one round of lapsed leases.
     * @param answers Receive the answer when the entries are recorded.
     */
    private record PendingEntries(List<Progress> entries, List<MonoSink<Either<Failure, BatchAnswer>>> answers) {

        /**
         * Returns whether a result object is among the entries.
         *
         * @param object The name of the object.
         */
        private boolean includes(String object) {
            return entries.stream()
                    .anyMatch(entry -> entry instanceof Progress.Completed completed
                            && completed.object().equals(object));
        }

        private void answer(Either<Failure, BatchAnswer> result) {
            answers.forEach(answer -> answer.success(result));
        }
    }
}
