package org.tanagermoor.gateway.job;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.gateway.proto.JobRow;
import org.tanagermoor.gateway.proto.ResultPart;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.store.table.Row;
import org.tanagermoor.store.table.RowKey;
import org.tanagermoor.store.table.RowPage;
import org.tanagermoor.store.table.Transaction;

/** Splits results into rows of the store, and joins them again. A result with a long output takes several rows. */
final class ResultRows {

    /**
     * Maximum size of an output in one row, in bytes: rows hold 64 KiB in base64, which leaves room for the other
     * fields.
     */
    static final int MAX_PART_BYTES = 45_000;

    private ResultRows() {}

    /**
     * Returns the rows of results.
     *
     * @param table The table of results with the partition of the job.
     * @param job The row of the job, which tells the position of the first result.
     * @param results The results.
     */
    static List<Transaction.Write> of(String table, JobRow job, List<JobResult> results) {
        List<Transaction.Write> rows = new ArrayList<>();
        int position = job.getRecorded();
        for (JobResult result : results) {
            List<ResultPart> parts = parts(result);
            for (int part = 0; part < parts.size(); part++) {
                rows.add(new Transaction.Write(
                        RowKey.of(table, keyOfResult(job.getId(), position) + String.format("%03d", part)),
                        parts.get(part).toByteArray()));
            }
            position++;
        }
        return rows;
    }

    /** Returns the key after which the rows from a position on are read; empty for all. */
    static String keyBefore(String job, int position) {
        return position == 0 ? "" : keyOfResult(job, position - 1) + "~";
    }

    /**
     * Joins the rows of results. Omits the last result if the read may have ended within it, and rows that do not
     * belong to a result: those of a writer that was lost before it had recorded the whole.
     *
     * @param page The rows.
     * @param end The position after the last recorded result.
     * @return The results, or a failure if a row is malformed or missing.
     */
    static Either<Failure, ResultPage> join(RowPage page, int end) {
        List<JobResult> results = new ArrayList<>();
        @Nullable Group group = null;
        for (Row row : page.rows()) {
            Either<Failure, Integer> position = position(row.key().key());
            if (position.isLeft()) {
                return Either.left(position.getLeft());
            }
            if (group != null && group.position != position.get()) {
                Either<Failure, JobResult> result = group.join();
                if (result.isLeft()) {
                    return Either.left(result.getLeft());
                }
                results.add(result.get());
                group = null;
            }
            if (position.get() >= end) {
                return Either.right(new ResultPage(results, true));
            }
            try {
                group = group == null ? new Group(position.get()) : group;
                group.parts.add(ResultPart.parseFrom(row.value()));
            } catch (InvalidProtocolBufferException exception) {
                return Either.left(corrupt(String.valueOf(exception.getMessage())));
            }
        }
        if (group != null && page.last()) {
            Either<Failure, JobResult> result = group.join();
            if (result.isLeft()) {
                return Either.left(result.getLeft());
            }
            results.add(result.get());
        }
        return Either.right(new ResultPage(results, page.last()));
    }

    /** Splits a result into its parts. */
    private static List<ResultPart> parts(JobResult result) {
        ByteString output = ByteString.copyFromUtf8(result.output());
        List<ResultPart> parts = new ArrayList<>();
        int count = Math.max(1, (output.size() + MAX_PART_BYTES - 1) / MAX_PART_BYTES);
        for (int part = 0; part < count; part++) {
            int from = part * MAX_PART_BYTES;
            parts.add(ResultPart.newBuilder()
                    .setItem(result.item())
                    .setCompleted(result.completed())
                    .setOutput(output.substring(from, Math.min(output.size(), from + MAX_PART_BYTES)))
                    .setParts(part == 0 ? count : 0)
                    .build());
        }
        return parts;
    }

    /** Returns what the keys of the rows of a result begin with; positions have a fixed length and sort as numbers. */
    private static String keyOfResult(String job, int position) {
        return job + "/" + String.format("%06d", position) + "/";
    }

    /** Parses the position in the key of a row. */
    private static Either<Failure, Integer> position(String key) {
        int end = key.lastIndexOf('/');
        int start = key.lastIndexOf('/', end - 1) + 1;
        try {
            return Either.right(Integer.parseInt(key.substring(start, end)));
        } catch (NumberFormatException exception) {
            return Either.left(corrupt("a key without a position: " + key));
        }
    }

    private static Failure corrupt(String detail) {
        return Failure.notRun(Failure.Kind.CORRUPT, "job.results", Failure.LOCAL, detail);
    }

    /** The rows at one position. */
    private static final class Group {

        private final int position;

        private final List<ResultPart> parts = new ArrayList<>();

        Group(int position) {
            this.position = position;
        }

        /** Joins the rows of the result; further rows at its position were written for another one. */
        Either<Failure, JobResult> join() {
            ResultPart head = parts.get(0);
            int count = head.getParts() == 0 ? parts.size() : head.getParts();
            if (count > parts.size()) {
                return Either.left(corrupt("position " + position + " has " + parts.size() + " of " + count + " rows"));
            }
            ByteString output = ByteString.EMPTY;
            for (ResultPart part : parts.subList(0, count)) {
                output = output.concat(part.getOutput());
            }
            return Either.right(new JobResult(head.getItem(), head.getCompleted(), output.toStringUtf8()));
        }
    }
}
