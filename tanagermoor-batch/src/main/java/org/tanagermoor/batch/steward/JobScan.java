package org.tanagermoor.batch.steward;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.tanagermoor.batch.store.JobKey;
import org.tanagermoor.batch.store.JobStore;
import org.tanagermoor.kernel.failure.Failure;

/** Finds active jobs by periodic scans of their index, page by page. Used by a single thread. */
final class JobScan {

    /** The number of rows of a page. */
    private static final int PAGE_SIZE = 1_000;

    private final JobStore store;

    private final Duration interval;

    /** Receives the pages. */
    private final Consumer<StewardMessage> pages;

    /** The position in the index after which the next page starts; empty for the first page. */
    private String after = "";

    /** Whether a read is in flight. */
    private boolean reading;

    /** Whether the next tick reads a page without waiting for the interval. */
    private boolean due = true;

    /** The monotonic time of the last read in nanoseconds. */
    private long lastReadAt;

    /**
     * Creates a scan, which starts at the next tick.
     *
     * @param interval The interval between two scans.
     * @param pages Receives the pages.
     */
    JobScan(JobStore store, Duration interval, Consumer<StewardMessage> pages) {
        this.store = store;
        this.interval = interval;
        this.pages = pages;
    }

    /** Restarts the scan with the first page at the next tick. */
    void restart() {
        after = "";
        due = true;
    }

    /**
     * Reads a page if one is due and no read is in flight.
     *
     * @param now The current monotonic time in nanoseconds.
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
     * Advances the scan to the next page. A page that could not be read counts as the last one.
     *
     * @param result The page, or the failure to read it.
     * @return The jobs of the page.
     */
    List<JobKey> acceptPage(Either<Failure, JobStore.IndexPage> result) {
        reading = false;
        JobStore.IndexPage page = result.getOrElse(new JobStore.IndexPage(List.of(), Optional.empty()));
        after = page.next().orElse("");
        due = due || page.next().isPresent();
        return page.entries().stream().map(JobStore.IndexEntry::key).toList();
    }
}
