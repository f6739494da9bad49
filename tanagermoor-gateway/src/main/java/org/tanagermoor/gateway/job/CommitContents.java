package org.tanagermoor.gateway.job;

import io.netty.buffer.ByteBufUtil;
import java.util.ArrayList;
import java.util.List;
import org.tanagermoor.gateway.proto.ItemProgress;
import org.tanagermoor.gateway.proto.JobRow;
import org.tanagermoor.store.table.RowKey;
import org.tanagermoor.store.table.Transaction;

/**
 * What is recorded of a job at once.
 *
 * @param results The results, in the order of their positions.
 * @param progress The progress of unfinished items.
 * @param limit What one commit holds.
 */
record CommitContents(List<JobResult> results, List<ItemProgress> progress, CommitSize limit) {

    /** A key as long as any; it also stands for the lengths of the numbers in a row. */
    private static final RowKey LONGEST_KEY = RowKey.of("progress/0", "x".repeat(200));

    /**
     * Chooses as many results and as much progress as one commit holds, and the first result in any case.
     *
     * @param job The row of the job, which is written as well.
     * @param results The results to choose from; one that does not fit is left for a later commit.
     * @param progress The progress to choose from.
     * @param limit What one commit holds.
     * @return The chosen contents.
     */
    static CommitContents choose(JobRow job, List<JobResult> results, List<ItemProgress> progress, CommitSize limit) {
        CommitSize size = CommitSize.EMPTY.with(LONGEST_KEY, 0).with(LONGEST_KEY, job.getSerializedSize());
        List<JobResult> chosenResults = new ArrayList<>();
        for (JobResult result : results) {
            CommitSize next = withResult(size, result);
            if (next.fits(limit) || chosenResults.isEmpty()) {
                chosenResults.add(result);
                size = next;
            }
        }
        List<ItemProgress> chosenProgress = new ArrayList<>();
        for (ItemProgress item : progress) {
            CommitSize next = size.with(LONGEST_KEY, item.getSerializedSize());
            if (next.fits(limit)) {
                chosenProgress.add(item);
                size = next;
            }
        }
        return new CommitContents(List.copyOf(chosenResults), List.copyOf(chosenProgress), limit);
    }

    /** Returns a size with the rows of one more result. */
    private static CommitSize withResult(CommitSize before, JobResult result) {
        CommitSize size = before;
        int nameBytes = ByteBufUtil.utf8Bytes(result.item());
        int left = ByteBufUtil.utf8Bytes(result.output());
        do {
            size = size.with(LONGEST_KEY, nameBytes + Math.min(left, ResultRows.MAX_PART_BYTES));
            left -= ResultRows.MAX_PART_BYTES;
        } while (left > 0);
        return size;
    }

    static CommitSize size(Transaction transaction) {
        CommitSize size = CommitSize.EMPTY.withAll(transaction.writes());
        for (Transaction.Condition condition : transaction.conditions()) {
            size = size.with(condition.key(), 0);
        }
        return size;
    }
}
