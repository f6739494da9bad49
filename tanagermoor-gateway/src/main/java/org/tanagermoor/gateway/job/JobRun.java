package org.tanagermoor.gateway.job;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.fleet.Route;
import org.tanagermoor.gateway.proto.ItemProgress;
import org.tanagermoor.gateway.proto.JobContent;
import org.tanagermoor.gateway.proto.JobItem;
import org.tanagermoor.gateway.proto.JobRow;
import org.tanagermoor.kernel.failure.Failure;
import reactor.core.publisher.Mono;

/**
 * Runs a job that this instance owns: asks for places for its items, and records their results. Confined to the event
 * loop.
 */
final class JobRun {

    /** Name under which errors of jobs are logged. */
    static final String DUTY = "job";

    /** Pause after an error before a step is tried again, in milliseconds. */
    private static final long ERROR_PAUSE_MILLIS = 300;

    /** Time for which results are collected for one commit, in milliseconds. */
    private static final long COMMIT_DELAY_MILLIS = 60;

    /** Maximum number of unrecorded results; when it is reached, no further items ask for a place. */
    private static final int MAX_UNRECORDED_RESULTS = 48;

    /**
     * Interval between two commits of the progress of unfinished items, in milliseconds. If the owner is lost, each run
     * loses up to this much work. At this interval a job uses only a fraction of the commits of one partition.
     */
    private static final long PROGRESS_INTERVAL_MILLIS = 1_500;

    private final JobContext context;

    /** Receives the job after each change of its row. */
    private final Consumer<JobRecord> changeListener;

    /** Items without a result, by identity. */
    private final Map<String, ItemRun> items = new LinkedHashMap<>();

    /** Results that are not recorded in the store. */
    private final List<JobResult> unrecorded = new ArrayList<>();

    /** Number of tokens of each item, by identity. */
    private final Map<String, Long> tokensByItem = new LinkedHashMap<>();

    /** The job as it was last recorded. */
    private JobRecord job;

    /** The newest row of the job that came while a write was in progress. */
    private JobRecord missed;

    /** Failures to read what is recorded of the job. */
    private final StepFailures readFailures;

    /** Failures to record results and progress. */
    private final StepFailures writeFailures;

    /** What one commit holds; less after the store has refused a commit for its size. */
    private CommitSize commitLimit = CommitSize.LIMIT;

    /** Whether the items have been loaded. */
    private boolean loaded;

    /** Whether a write is in progress or scheduled, or the recorded results are being read again. */
    private boolean writing;

    /** Whether this instance no longer runs the job. */
    private boolean stopped;

    /** Whether this instance is asking for places for items, or abandoning them. */
    private boolean asking;

    /** Whether an item has ended meanwhile, so that others may ask. */
    private boolean askAgain;

    /** Whether the job is being handed over to another instance. */
    private boolean handingOver;

    /** Monotonic time of the last commit of progress, in nanoseconds. */
    private long progressWrittenAt;

    /** Monotonic time at which this instance became the owner, in nanoseconds. */
    private final long startedAt;

    private final JobTerms terms;

    private final JobDelayLog delays;

    /** Why the items must not run, as of the last decision; empty if they may. */
    private String waitReason = "";

    /**
     * Creates the run of a job whose items are not loaded.
     *
     * @param context The dependencies of jobs.
     * @param job The job as it was last recorded.
     * @param knownSince The monotonic time in nanoseconds since which this instance knows the job.
     * @param changeListener Receives the job after each change of its row.
     */
    JobRun(JobContext context, JobRecord job, long knownSince, Consumer<JobRecord> changeListener) {
        this.context = context;
        this.job = job;
        missed = job;
        this.changeListener = changeListener;
        startedAt = context.time().nanos();
        progressWrittenAt = startedAt;
        terms = JobTerms.of(context, knownSince);
        delays = new JobDelayLog(context, startedAt);
        readFailures = new StepFailures(context, id(), "resume");
        writeFailures = new StepFailures(context, id(), "record");
    }

    String id() {
        return job.row().getId();
    }

    /** Returns the host that selects the route of the job and is sent to targets. */
    String host() {
        return job.row().getHost();
    }

    String team() {
        return job.row().getTeam();
    }

    /** Returns the number of failures after which an item is abandoned. */
    int attempts() {
        return terms.attempts(job.row());
    }

    /** Returns the time until the job is due, in milliseconds; negative if it is late, 0 if its route is not known. */
    long dueMillis() {
        return terms.dueMillis(job.row(), context.time().wallMillis());
    }

    /** Returns whether a target of a service may run items of the job now. */
    boolean mayRunAt(String service) {
        return terms.mayRunAt(job.row(), service);
    }

    /** Starts a job that was just accepted, whose items are known. */
    void start(JobContent content) {
        load(content, Set.of(), Map.of());
    }

    /** Starts a job that was taken over: reads its items, results and progress from the store. */
    void resume() {
        if (stopped) {
            return;
        }
        context.duties()
                .call(
                        DUTY,
                        () -> Mono.zip(
                                context.store().content(job.row()),
                                context.store().recordedItems(job.row()),
                                context.store().progress(id())),
                        read -> resumed(read.getT1(), read.getT2(), read.getT3()),
                        ERROR_PAUSE_MILLIS,
                        this::resumeUnlessLoaded);
    }

    /** Reads the job again after an error, unless its items may already run. */
    private void resumeUnlessLoaded() {
        if (!loaded) {
            resume();
        }
    }

    /** Loads what was read of a job that was taken over, or schedules another read after a failure. */
    private void resumed(
            Either<Failure, JobContent> content,
            Either<Failure, List<String>> recorded,
            Either<Failure, Map<String, ItemProgress>> progress) {
        if (stopped) {
            return;
        }
        if (content.isLeft() || recorded.isLeft() || progress.isLeft()) {
            Failure failure =
                    content.isLeft() ? content.getLeft() : recorded.isLeft() ? recorded.getLeft() : progress.getLeft();
            context.loop().schedule(this::resume, readFailures.add(failure), TimeUnit.MILLISECONDS);
        } else {
            readFailures.clear();
            load(content.get(), Set.copyOf(recorded.get()), progress.get());
            context.events()
                    .record(
                            GatewayEvent.JOB_RESUMED,
                            "job",
                            id(),
                            "left",
                            items.size(),
                            "begun",
                            items.values().stream().filter(ItemRun::started).count(),
                            "took-ms",
                            TimeUnit.NANOSECONDS.toMillis(context.time().nanos() - startedAt),
                            "due-in-ms",
                            dueMillis());
        }
    }

    /** Adopts a newer row of the job, recorded by another writer; once a write in progress has ended. */
    void update(JobRecord record) {
        if (record.version() > missed.version()) {
            missed = record;
        }
        if (!writing) {
            adoptMissed();
        }
    }

    /** Adopts the newest row that came while a write was in progress; returns whether there is one. */
    private boolean adoptMissed() {
        if (missed.version() <= job.version()) {
            return false;
        }
        adopt(missed);
        return true;
    }

    /** Stops the job on this instance, and ends the runs of its items. */
    void stop() {
        stopped = true;
        items.values().forEach(ItemRun::stop);
    }

    boolean stopped() {
        return stopped;
    }

    /**
     * Gives up the ownership of the job, so that another instance takes it over immediately. The runs of its items end,
     * and their progress is recorded along with it, as much as one commit holds.
     */
    void handOver() {
        if (stopped || handingOver) {
            return;
        }
        handingOver = true;
        items.values().forEach(ItemRun::suspend);
        if (!writing) {
            writing = true;
            write();
        }
    }

    /** Ends the runs of items at silent targets, and records progress that is due. */
    void check(long now) {
        if (stopped || handingOver) {
            return;
        }
        List.copyOf(items.values()).forEach(item -> item.check(now));
        delays.check(job, loaded ? waitReason : "its items have not been read", now);
        boolean due = now - progressWrittenAt >= TimeUnit.MILLISECONDS.toNanos(PROGRESS_INTERVAL_MILLIS);
        if (due && loaded && !writing && items.values().stream().anyMatch(ItemRun::unrecorded)) {
            writing = true;
            write();
        }
    }

    /** Returns whether the wait of an item that did not even ask may be logged now. */
    boolean mayRecordUnasked(long now) {
        return delays.mayRecordUnasked(now);
    }

    /**
     * Asks for places for items that can run, and abandons those whose time is over or whose route was removed. An item
     * that ends in the course of it does not call this again, but lets it run once more: the depth of the calls must
     * not grow with the number of items.
     */
    void askForPlaces() {
        askAgain = true;
        if (asking) {
            return;
        }
        asking = true;
        try {
            while (askAgain) {
                askAgain = false;
                askOnce();
            }
        } finally {
            asking = false;
        }
    }

    private void askOnce() {
        if (stopped || !loaded || handingOver) {
            return;
        }
        JobExpiry.Decision decision =
                terms.decide(job.row(), context.time().nanos(), context.time().wallMillis());
        waitReason = decision instanceof JobExpiry.Decision.Wait wait ? wait.reason() : "";
        switch (decision) {
            case JobExpiry.Decision.Run run -> askForPlaces(run.route());
            case JobExpiry.Decision.Wait wait -> unstarted().forEach(ItemRun::withdraw);
            case JobExpiry.Decision.AbandonWaiting waiting ->
                unstarted().forEach(item -> item.abandon(waiting.reason()));
            case JobExpiry.Decision.AbandonAll all ->
                List.copyOf(items.values()).forEach(item -> item.abandon(all.reason()));
        }
    }

    /** Returns the items that do not run at a target. */
    private List<ItemRun> unstarted() {
        return items.values().stream().filter(item -> !item.running()).toList();
    }

    /** Asks for places at the service of a route. Items that wait for one at another service ask anew. */
    private void askForPlaces(Route route) {
        items.values().forEach(item -> item.withdrawUnlessAsking(JobTerms.itemService(route)));
        long due = TimeUnit.MILLISECONDS.toNanos(
                JobTerms.dueMillis(job.row(), route, context.time().wallMillis()));
        for (ItemRun item : AskOrder.next(items.values())) {
            if (unrecorded.size() >= MAX_UNRECORDED_RESULTS) {
                return;
            }
            if (item.idle()) {
                item.ask(route, due);
            }
        }
    }

    /** Schedules the recording of the first result of an item, and asks for places for other items. */
    void finished(JobResult result) {
        if (items.remove(result.item()) == null) {
            return;
        }
        unrecorded.add(result);
        scheduleWrite(COMMIT_DELAY_MILLIS);
        askForPlaces();
    }

    /** Creates the items without a result from their recorded progress, and asks for places for them. */
    private void load(JobContent content, Set<String> recordedItems, Map<String, ItemProgress> progress) {
        for (JobItem item : content.getItemsList()) {
            tokensByItem.put(item.getId(), item.getTokens());
            if (!recordedItems.contains(item.getId())) {
                ItemProgress recorded = progress.getOrDefault(item.getId(), ItemProgress.getDefaultInstance());
                items.put(item.getId(), new ItemRun(context, this, item, recorded));
            }
        }
        loaded = true;
        askForPlaces();
    }

    /** Schedules a write after a delay in milliseconds, unless one is in progress or scheduled. */
    private void scheduleWrite(long millis) {
        if (!writing && !stopped) {
            writing = true;
            context.loop().schedule(this::write, millis, TimeUnit.MILLISECONDS);
        }
    }

    /** Writes what is not recorded; again after an error. */
    private void write() {
        context.duties().runOrRetry(DUTY, this::writeOnce, ERROR_PAUSE_MILLIS, this::write);
    }

    /** Writes unrecorded results and the progress of the other items, as much as one commit holds. */
    private void writeOnce() {
        List<ItemProgress> progress = stopped ? List.of() : progress();
        if (stopped || (unrecorded.isEmpty() && progress.isEmpty() && !handingOver)) {
            writing = false;
            return;
        }
        progressWrittenAt = context.time().nanos();
        CommitContents contents = CommitContents.choose(job.row(), unrecorded, progress, commitLimit);
        List<JobResult> results = contents.results();
        long waiting = job.row().getTokensWaiting()
                - results.stream()
                        .mapToLong(result -> tokensByItem.getOrDefault(result.item(), 0L))
                        .sum();
        boolean lastWrite = handingOver && results.size() == unrecorded.size();
        JobRow before = results.isEmpty() && !lastWrite
                ? job.row()
                : terms.route(job.row()).recordIn(job.row());
        JobRow after = before.toBuilder()
                .setRecorded(job.row().getRecorded() + results.size())
                .setTokensWaiting(Math.max(0, waiting))
                .setOwner(lastWrite ? "" : job.row().getOwner())
                .build();
        context.duties()
                .call(
                        DUTY,
                        () -> context.store().write(job, contents, after),
                        written -> written(contents, after, written),
                        ERROR_PAUSE_MILLIS,
                        this::writeAgain);
    }

    /** Writes again after an error, unless a write is in progress or scheduled. */
    private void writeAgain() {
        writing = false;
        scheduleWrite(0);
    }

    /** Returns the unrecorded progress of items. */
    private List<ItemProgress> progress() {
        return items.values().stream().flatMap(item -> item.progress().stream()).toList();
    }

    /** Handles the outcome of a write. */
    private void written(CommitContents contents, JobRow after, Either<Failure, JobRecord> outcome) {
        writing = false;
        if (stopped) {
            return;
        }
        if (outcome.isLeft()) {
            if (!adoptMissed()) {
                writeFailed(outcome.getLeft());
            }
            return;
        }
        List<JobResult> results = contents.results();
        writeFailures.clear();
        JobRecord record = outcome.get();
        if (!record.row().equals(after)) {
            adopt(record.version() < missed.version() ? missed : record);
            return;
        }
        job = record;
        unrecorded.removeAll(results);
        contents.progress().forEach(this::recorded);
        if (!results.isEmpty()) {
            context.metrics().resultsRecorded(results.size());
            context.events()
                    .record(
                            GatewayEvent.RESULTS_RECORDED,
                            "job",
                            id(),
                            "recorded",
                            after.getRecorded(),
                            "total",
                            after.getTotal(),
                            "version",
                            record.version());
            changeListener.accept(record);
        }
        if (after.getOwner().isEmpty()) {
            context.events().record(GatewayEvent.JOB_HANDED_OVER, "job", id(), "version", record.version());
            stop();
        } else if (!adoptMissed()) {
            writeNext();
        }
        // An error in it must not let a second write begin beside the scheduled one.
        context.duties().run(DUTY, this::askForPlaces);
    }

    /** Ends the run if all results are recorded, or writes what is left. */
    private void writeNext() {
        if (handingOver) {
            scheduleWrite(0);
        } else if (!job.open()) {
            context.events()
                    .record(
                            GatewayEvent.JOB_ENDED,
                            "job",
                            id(),
                            "recorded",
                            job.row().getRecorded());
            stopped = true;
        } else if (!unrecorded.isEmpty()) {
            scheduleWrite(0);
        }
    }

    /** Writes again after a failure; less at once if the store does not take a commit of this size. */
    private void writeFailed(Failure failure) {
        long pauseMillis = writeFailures.add(failure);
        boolean refused = failure.kind() == Failure.Kind.TOO_LARGE || failure.kind() == Failure.Kind.INVALID;
        if (refused && commitLimit.bytes() > 0) {
            commitLimit = commitLimit.half();
            scheduleWrite(COMMIT_DELAY_MILLIS);
        } else {
            scheduleWrite(pauseMillis);
        }
    }

    /** Notes the progress that has been recorded for an item. */
    private void recorded(ItemProgress progress) {
        ItemRun item = items.get(progress.getItem());
        if (item != null) {
            item.recorded(progress);
        }
    }

    /** Adopts a row that another writer, or an earlier write of this instance, has recorded. */
    private void adopt(JobRecord record) {
        boolean own = record.row().getOwner().equals(context.dispatch().self());
        boolean advanced = record.row().getRecorded() > job.row().getRecorded();
        job = record;
        changeListener.accept(record);
        if (!record.open() || !own) {
            context.events()
                    .record(
                            GatewayEvent.JOB_ENDED,
                            "job",
                            id(),
                            "recorded",
                            record.row().getRecorded(),
                            "owner",
                            record.row().getOwner(),
                            "ended",
                            record.row().getEnded());
            stop();
        } else if (advanced) {
            writing = true;
            readRecorded();
        } else if (!unrecorded.isEmpty() || handingOver) {
            scheduleWrite(0);
        }
    }

    /** Reads which results are recorded, and drops those that this instance has not yet recorded itself. */
    private void readRecorded() {
        if (!stopped) {
            context.duties()
                    .call(
                            DUTY,
                            () -> context.store().recordedItems(job.row()),
                            this::dropRecorded,
                            ERROR_PAUSE_MILLIS,
                            this::readRecorded);
        }
    }

    /** Drops the results that turned out to be recorded already. Reads again after a failure. */
    private void dropRecorded(Either<Failure, List<String>> recorded) {
        if (recorded.isLeft()) {
            context.loop().schedule(this::readRecorded, readFailures.add(recorded.getLeft()), TimeUnit.MILLISECONDS);
            return;
        }
        readFailures.clear();
        Set<String> recordedItems = Set.copyOf(recorded.get());
        unrecorded.removeIf(waiting -> recordedItems.contains(waiting.item()));
        for (String recordedItem : recordedItems) {
            ItemRun item = items.remove(recordedItem);
            if (item != null) {
                item.stop();
            }
        }
        writing = false;
        if (!adoptMissed() && (!unrecorded.isEmpty() || handingOver)) {
            scheduleWrite(0);
        }
    }
}
