package org.tanagermoor.batch.steward;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.tanagermoor.batch.store.JobKey;
import org.tanagermoor.batch.store.JobStore;
import org.tanagermoor.kernel.failure.Failure;

/** Finds the active jobs by reading their index now and then, one page after the other. Used by one thread. */
final class JobScan {

    /** The rows of a page. */
    private static final int PAGE_SIZE = 1_000;

    /** The store. */
    private final JobStore store;

    /** The interval from one scan to the next. */
    private final Duration interval;

    /** Takes the pages. */
    private final Consumer<StewardMessage> pages;

    /** The position after which the next page begins. */
    private String after = "";

    /** Whether a page is being read. */
    private boolean reading;

    /** Whether to read at the next tick. */
    private boolean due = true;

    /** The monotonic time of the last read in nanoseconds. */
    private long lastReadAt;

    /**
     * Creates a scan.
     *
     * @param store The store.
     * @param interval The interval from one scan to the next.
     * @param pages Takes the pages.
     */
    JobScan(JobStore store, Duration interval, Consumer<StewardMessage> pages) {
        this.store = store;
        this.interval = interval;
        this.pages = pages;
    }

    /** Begins from the first page at the next tick. */
    void restart() {
        after = "";
        due = true;
    }

    /**
     * Reads a page if it is time.
     *
     * @param now The present monotonic time in nanoseconds.
     */
    void tick(long now) {
        if (reading || (!due && now - lastReadAt < interval.toNanos())) {
            return;
        }
        reading = true;
        due = false;
        lastReadAt = now;
        store.active(after, PAGE_SIZE).subscribe(result -> pages.accept(new StewardMessage.PageScanned(result)));
    }

    /**
     * Takes a page in.
     *
     * @param result The page.
     * @return The jobs of the page.
     */
    List<JobKey> acceptPage(Either<Failure, List<JobStore.IndexEntry>> result) {
        reading = false;
        List<JobStore.IndexEntry> page = result.getOrElse(List.of());
        boolean more = page.size() == PAGE_SIZE;
        after = more ? page.get(PAGE_SIZE - 1).position() : "";
        due = due || more;
        return page.stream().map(JobStore.IndexEntry::key).toList();
    }
}
