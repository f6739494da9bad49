package org.tanagermoor.gateway.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.gateway.proto.ItemProgress;
import org.tanagermoor.gateway.proto.JobRow;
import org.tanagermoor.store.table.RowKey;
import org.tanagermoor.store.table.Transaction;

final class CommitContentsTest {

    private static final JobRow JOB = JobRow.newBuilder()
            .setId("j".repeat(96))
            .setPath("/batch/" + "p".repeat(500))
            .build();

    /** A commit holds 100 entries: the condition, the row of the job, and 98 others. */
    @ParameterizedTest
    @CsvSource({"97, 0, 97, 0", "98, 0, 98, 0", "99, 0, 98, 0", "97, 1, 97, 1", "97, 2, 97, 1", "98, 1, 98, 0"})
    void choosesNoMoreEntriesThanACommitHolds(int results, int progress, int chosenResults, int chosenProgress) {
        CommitContents contents = choose(results, "short", progress, "short", CommitSize.LIMIT);
        assertThat(contents.results(), hasSize(chosenResults));
        assertThat(contents.progress(), hasSize(chosenProgress));
    }

    /** What is chosen is within the limit when it is written, whatever its script and its number of rows. */
    @ParameterizedTest
    @CsvSource({
        "a, 1",
        "a, 44999",
        "a, 45000",
        "a, 45001",
        "é, 22500",
        "é, 22501",
        "語, 15000",
        "語, 15001",
        "𝄞, 11250",
        "𝄞, 11251",
        "語, 60000"
    })
    void choosesWhatFitsOnceItIsEncoded(String text, int count) {
        String output = text.repeat(count);
        CommitContents contents = choose(120, output, 0, "", CommitSize.LIMIT);
        Transaction written = transaction(contents);
        assertThat(CommitContents.size(written).fits(CommitSize.LIMIT), is(true));
        CommitContents one = choose(120, output, 0, "", new CommitSize(100, 0));
        assertThat(one.results(), hasSize(1));
    }

    /** A result that no commit holds is chosen alone; a smaller one behind it waits for the next commit. */
    @ParameterizedTest
    @ValueSource(ints = {430_000, 445_000, 460_000, 980_000})
    void choosesAResultThatNoCommitHolds(int characters) {
        List<JobResult> results = List.of(
                new JobResult("large", true, "x".repeat(characters)),
                new JobResult("larger", true, "x".repeat(980_000)));
        CommitContents contents = CommitContents.choose(JOB, results, List.of(), CommitSize.LIMIT);
        assertThat(contents.results(), is(results.subList(0, 1)));
    }

    /** Returns the transaction that writes contents. */
    private static Transaction transaction(CommitContents contents) {
        RowKey key = RowKey.of("jobs/0", JOB.getId());
        List<Transaction.Write> writes = new ArrayList<>(ResultRows.of("results/0", JOB, contents.results()));
        writes.add(new Transaction.Write(key, JOB.toByteArray()));
        return new Transaction(
                Transaction.EMPTY.withCondition(key, 1).conditions(), Collections.unmodifiableList(writes));
    }

    private static CommitContents choose(
            int results, String output, int progress, String progressOutput, CommitSize limit) {
        List<JobResult> allResults = new ArrayList<>();
        for (int item = 0; item < results; item++) {
            allResults.add(new JobResult("r-" + item, true, output));
        }
        List<ItemProgress> allProgress = new ArrayList<>();
        for (int item = 0; item < progress; item++) {
            allProgress.add(ItemProgress.newBuilder()
                    .setItem("p-" + item)
                    .setOutput(ByteString.copyFromUtf8(progressOutput))
                    .build());
        }
        return CommitContents.choose(JOB, allResults, allProgress, limit);
    }
}
