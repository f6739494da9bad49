package org.tanagermoor.gateway.job;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tanagermoor.gateway.edge.Refusal;
import org.tanagermoor.kernel.failure.Failure;

/**
 * A job as this instance knows it, with the results that were read from the store and the readers that wait for more.
 * Confined to the event loop.
 */
final class JobView {

    /** Number of bytes of a result in an answer, beside its item and output. */
    private static final int RESULT_BYTES = 64;

    /** Delay after which a reader can retry while the store does not answer, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 500;

    private final JobContext context;

    /** Results that were read from the store, from position 0 on. */
    private final List<JobResult> results = new ArrayList<>();

    /** Number of bytes that each of these results takes in an answer. */
    private final List<Integer> answerBytes = new ArrayList<>();

    /** Readers that wait for a result. */
    private final List<Reader> readers = new ArrayList<>();

    private JobRecord record;

    /** Monotonic time in nanoseconds since which this instance knows the job. */
    private final long knownSince;

    /** Whether results are being read from the store. */
    private boolean loading;

    JobView(JobContext context, JobRecord record) {
        this.context = context;
        this.record = record;
        knownSince = context.time().nanos();
    }

    /** Returns the monotonic time in nanoseconds since which this instance knows the job. */
    long knownSince() {
        return knownSince;
    }

    JobRecord record() {
        return record;
    }

    /** Adopts a newer state of the job, and serves the waiting readers. */
    void update(JobRecord value) {
        if (value.version() > record.version()) {
            record = value;
            List.copyOf(readers).forEach(this::serve);
        }
    }

    /** Answers with the results from a position on, or without results after a wait in milliseconds. */
    void read(int after, long waitMillis, Consumer<JobAnswer> answer) {
        Reader reader = new Reader(after, answer);
        readers.add(reader);
        serve(reader);
        if (readers.contains(reader)) {
            boolean nothingToWaitFor = !record.open() && after >= record.row().getRecorded();
            context.loop().schedule(() -> expire(reader), nothingToWaitFor ? 0 : waitMillis, TimeUnit.MILLISECONDS);
        }
    }

    /** Answers a reader whose wait is over, unless a result for it is being read. */
    private void expire(Reader reader) {
        if (reader.after >= record.row().getRecorded()) {
            answer(reader, page(reader.after));
        }
    }

    /** Answers a reader if there is a result for it, which may have to be read first. */
    private void serve(Reader reader) {
        if (reader.after < results.size()) {
            answer(reader, page(reader.after));
        } else if (reader.after < record.row().getRecorded()) {
            load();
        }
    }

    /** Reads the next results from the store. */
    private void load() {
        if (loading) {
            return;
        }
        loading = true;
        int from = results.size();
        context.store()
                .results(record.row().getId(), from, record.row().getRecorded())
                .subscribe(read -> context.loop().execute(() -> loaded(from, read)));
    }

    /** Serves the readers after a read, or refuses them if it failed or did not find the results. */
    private void loaded(int from, Either<Failure, ResultPage> read) {
        loading = false;
        if (read.isLeft()) {
            refuseWaiting(read.getLeft().toString());
            return;
        }
        if (from == results.size()) {
            read.get().results().forEach(result -> {
                results.add(result);
                answerBytes.add(RESULT_BYTES
                        + context.answerBytes().applyAsInt(result.item())
                        + context.answerBytes().applyAsInt(result.output()));
            });
        }
        if (read.get().results().isEmpty()) {
            refuseWaiting(
                    "the store has " + results.size() + " of " + record.row().getRecorded() + " results");
        }
        List.copyOf(readers).forEach(this::serve);
    }

    /** Refuses the readers that wait for a recorded result. */
    private void refuseWaiting(String detail) {
        Refusal refusal = new Refusal(Refusal.Kind.UNAVAILABLE, RETRY_DELAY_MILLIS, detail);
        List.copyOf(readers).stream()
                .filter(reader -> reader.after >= results.size()
                        && reader.after < record.row().getRecorded())
                .forEach(reader -> answer(reader, new JobAnswer.Refused(refusal)));
    }

    /** Answers a reader, unless it was answered before. */
    private void answer(Reader reader, JobAnswer answer) {
        if (readers.remove(reader)) {
            reader.answer.accept(answer);
        }
    }

    /** Returns the results from a position on that fit into one answer, but at least one if there is any. */
    private JobAnswer page(int after) {
        List<JobResult> page = new ArrayList<>();
        int bytes = 0;
        for (int position = after; position < results.size(); position++) {
            bytes += answerBytes.get(position);
            if (!page.isEmpty() && bytes > JobContext.MAX_ANSWER_BYTES) {
                break;
            }
            page.add(results.get(position));
        }
        return new JobAnswer.Results(new JobPage(record.row().getTotal(), after + page.size(), page));
    }

    /** A reader that waits for results. */
    private static final class Reader {

        /** Position of the first requested result. */
        private final int after;

        private final Consumer<JobAnswer> answer;

        Reader(int after, Consumer<JobAnswer> answer) {
            this.after = after;
            this.answer = answer;
        }
    }
}
