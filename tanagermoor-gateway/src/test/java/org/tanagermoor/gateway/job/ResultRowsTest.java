package org.tanagermoor.gateway.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagermoor.gateway.proto.JobRow;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.store.table.Row;
import org.tanagermoor.store.table.RowPage;
import org.tanagermoor.store.table.Transaction;

final class ResultRowsTest {

    private static final JobRow JOB = JobRow.newBuilder().setId("j").build();

    /** Rows are split by bytes, also within a character or between the halves of a surrogate pair. */
    @ParameterizedTest
    @CsvSource({
        "a, 0, 1", "a, 1, 1", "a, 44999, 1", "a, 45000, 1", "a, 45001, 2", "a, 90000, 2", "a, 90001, 3",
        "é, 22500, 1", "é, 22501, 2", "語, 15000, 1", "語, 15001, 2", "語, 40000, 3", "𝄞, 11250, 1", "𝄞, 11251, 2",
        "x𝄞, 30000, 4", "xx𝄞, 30000, 4"
    })
    void splitsAndJoinsByBytes(String text, int count, int rows) {
        JobResult result = new JobResult("item", true, text.repeat(count));
        List<Transaction.Write> writes = ResultRows.of("results/0", JOB, List.of(result));
        assertThat(writes, hasSize(rows));
        assertThat(join(writes, 1).get().results(), is(List.of(result)));
    }

    /** A writer that was lost in between leaves rows behind, which belong to no result. */
    @Test
    void ignoresRowsThatALostWriterLeft() {
        List<Transaction.Write> rows =
                new ArrayList<>(ResultRows.of("results/0", JOB, List.of(new JobResult("a", true, "one"))));
        List<Transaction.Write> left =
                ResultRows.of("results/0", JOB, List.of(new JobResult("b", true, "y".repeat(100_000))));
        rows.addAll(left.subList(1, left.size()));
        JobRow later = JOB.toBuilder().setRecorded(1).build();
        rows.addAll(ResultRows.of("results/0", later, List.of(new JobResult("c", true, "z".repeat(100_000))))
                .subList(0, 1));
        assertThat(join(rows, 1).get().results(), is(List.of(new JobResult("a", true, "one"))));
    }

    /** A recorded result whose rows are not all there is not passed off as the whole. */
    @Test
    void failsIfARowIsMissing() {
        List<Transaction.Write> rows =
                ResultRows.of("results/0", JOB, List.of(new JobResult("a", true, "y".repeat(100_000))));
        assertThat(join(rows.subList(0, 2), 1).getLeft().kind(), is(Failure.Kind.CORRUPT));
        assertThat(join(rows.subList(0, 2), 0).get().results(), is(empty()));
    }

    /** The rows of results that were written before their number was recorded are joined as before. */
    @Test
    void joinsRowsWithoutANumber() {
        byte[] first = "\n\u0001a\u0010\u0001\u001a\u0002on".getBytes(StandardCharsets.ISO_8859_1);
        byte[] second = "\n\u0001a\u0010\u0001\u001a\u0001e".getBytes(StandardCharsets.ISO_8859_1);
        List<Transaction.Write> rows = new ArrayList<>();
        List<Transaction.Write> keys =
                ResultRows.of("results/0", JOB, List.of(new JobResult("a", true, "y".repeat(50_000))));
        rows.add(new Transaction.Write(keys.get(0).key(), first));
        rows.add(new Transaction.Write(keys.get(1).key(), second));
        assertThat(join(rows, 1).get().results(), is(List.of(new JobResult("a", true, "one"))));
    }

    private static Either<Failure, ResultPage> join(List<Transaction.Write> writes, int end) {
        List<Row> rows = writes.stream()
                .map(write -> new Row(write.key(), 1, write.value()))
                .toList();
        return ResultRows.join(new RowPage(rows, Optional.empty()), end);
    }
}
