package org.tanagermoor.gateway.job;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.fleet.FleetConfiguration;
import org.tanagermoor.gateway.fleet.Route;
import org.tanagermoor.gateway.fleet.RouteKind;
import org.tanagermoor.gateway.proto.ItemProgress;
import org.tanagermoor.gateway.proto.JobContent;
import org.tanagermoor.gateway.proto.JobItem;
import org.tanagermoor.gateway.proto.JobRow;
import org.tanagermoor.kernel.failure.Failure;
import reactor.core.publisher.Mono;

/** A job that this instance owns: its items run here, and their results are recorded. Confined to the event loop. */
final class JobRun {

    /** The time for which results are gathered for one commit, in milliseconds. */
    private static final long GATHER_MILLIS = 60;

    /** The time before a failed write is tried again, in milliseconds. */
    private static final long RETRY_MILLIS = 300;

    /** The most results of one commit: commits hold 100 rows, and a result may take several. */
    private static final int COMMIT_MOST = 16;

    /** The most bytes of the outputs of one commit: commits hold 1 MB, and rows grow by a third on the way. */
    private static final int COMMIT_BYTES = 400_000;

    /** The most bytes of the progress in one commit. */
    private static final int PROGRESS_BYTES = 200_000;

    /** The most results that wait to be recorded before no more items are started. */
    private static final int UNRECORDED_MOST = 48;

    /**
     * The time between two commits of what unfinished items have produced, in milliseconds: a lost owner costs this
     * much of each run, and a job a fraction of the commits of one partition.
     */
    private static final long PROGRESS_MILLIS = 1_500;

    /** The most items whose progress one commit holds: commits hold 100 rows. */
    private static final int PROGRESS_MOST = 40;

    /** What jobs need. */
    private final JobContext context;

    /** Takes the job after each change. */
    private final Consumer<JobRecord> changed;

    /** The items without a result, by identity. */
    private final Map<String, ItemRun> items = new LinkedHashMap<>();

    /** The results that are not recorded. */
    private final List<JobResult> unrecorded = new ArrayList<>();

    /** The tokens of each item. */
    private final Map<String, Long> tokens = new LinkedHashMap<>();

    /** The job as it is recorded. */
    private JobRecord job;

    /** Whether the items are known. */
    private boolean loaded;

    /** Whether a write is on its way or scheduled. */
    private boolean writing;

    /** Whether this instance no longer runs the job. */
    private boolean stopped;

    /** Whether the job is being handed over. */
    private boolean handingOver;

    /** The monotonic time in nanoseconds of the last commit of progress. */
    private long progressAt;

    /** The monotonic time in nanoseconds at which this instance became the owner. */
    private final long startedAt;

    /** Creates a run. */
    JobRun(JobContext context, JobRecord job, Consumer<JobRecord> changed) {
        this.context = context;
        this.job = job;
        this.changed = changed;
        startedAt = context.time().nanos();
        progressAt = startedAt;
    }

    /** Returns the identity of the job. */
    String id() {
        return job.row().getId();
    }

    /** Returns the host of the route. */
    String host() {
        return job.row().getHost();
    }

    /** Returns the team. */
    String team() {
        return job.row().getTeam();
    }

    /** Returns after how many failures an item is given up. */
    int attempts() {
        return route().map(Route::attempts).orElse(1);
    }

    /** Returns the time until the job is due in milliseconds; below 0 if it is late, 0 if its route is gone. */
    long dueMillis() {
        return route().map(route -> dueMillis(route, context.time().wallMillis()))
                .orElse(0L);
    }

    /** Returns the time until the job is due in milliseconds, at a time of day in milliseconds. */
    private long dueMillis(Route route, long nowMillis) {
        return job.row().getAcceptedMillis() + route.batch().completionMillis() - nowMillis;
    }

    /** Starts with items that are known. */
    void start(JobContent content) {
        load(content, List.of(), Map.of());
    }

    /** Starts a job that was taken over: reads its items and its results. */
    void resume() {
        if (stopped) {
            return;
        }
        Mono.zip(
                        context.store().content(id()),
                        context.store().results(id(), 0),
                        context.store().progress(id()))
                .subscribe(read -> context.loop().execute(() -> resumed(read.getT1(), read.getT2(), read.getT3())));
    }

    /** Takes what was read of a job that was taken over, or reads it again after a failure. */
    private void resumed(
            Either<Failure, JobContent> content,
            Either<Failure, List<JobResult>> results,
            Either<Failure, Map<String, ItemProgress>> progress) {
        boolean behind = results.isRight() && results.get().size() < job.row().getRecorded();
        Object failure = content.isLeft() ? content.getLeft() : results.isLeft() ? results.getLeft() : progress;
        if (content.isLeft() || results.isLeft() || progress.isLeft() || behind) {
            context.events()
                    .record(
                            GatewayEvent.JOB_WRITE_FAILED,
                            "job",
                            id(),
                            "step",
                            "resume",
                            "failure",
                            behind ? "the results that were read are older than the job" : failure);
            context.loop().schedule(this::resume, RETRY_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            load(content.get(), results.get(), progress.get());
            context.events()
                    .record(
                            GatewayEvent.JOB_RESUMED,
                            "job",
                            id(),
                            "left",
                            items.size(),
                            "begun",
                            items.values().stream().filter(ItemRun::begun).count(),
                            "took-ms",
                            TimeUnit.NANOSECONDS.toMillis(context.time().nanos() - startedAt),
                            "due-in-ms",
                            dueMillis());
        }
    }

    /** Takes in what another writer has recorded. */
    void update(JobRecord record) {
        if (record.version() > job.version() && !writing) {
            adopt(record);
        }
    }

    /** Stops to run the job. */
    void stop() {
        stopped = true;
        items.values().forEach(ItemRun::stop);
    }

    /** Returns whether this instance no longer runs the job. */
    boolean stopped() {
        return stopped;
    }

    /**
     * Gives the job up, so that another instance takes it over at once. What its items have produced is recorded with
     * it; their runs end.
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

    /** Ends the runs of items at targets that have gone silent, and records progress that is due. */
    void watch(long now) {
        if (stopped || handingOver) {
            return;
        }
        List.copyOf(items.values()).forEach(item -> item.watch(now));
        boolean due = now - progressAt >= TimeUnit.MILLISECONDS.toNanos(PROGRESS_MILLIS);
        if (due && loaded && !writing && items.values().stream().anyMatch(ItemRun::unrecorded)) {
            writing = true;
            write();
        }
    }

    /** Starts items for which there may be a place. */
    void proceed() {
        if (stopped || !loaded || handingOver) {
            return;
        }
        Optional<Route> route = route();
        long nowMillis = context.time().wallMillis();
        if (route.isEmpty()) {
            return;
        }
        if (nowMillis - job.row().getAcceptedMillis() > route.get().batch().abandonMillis()) {
            List.copyOf(items.values()).forEach(item -> item.giveUp("the time for the job is over"));
            return;
        }
        long due = TimeUnit.MILLISECONDS.toNanos(dueMillis(route.get(), nowMillis));
        for (ItemRun item : AskOrder.next(items.values())) {
            if (unrecorded.size() >= UNRECORDED_MOST) {
                return;
            }
            item.ask(route.get(), due);
        }
    }

    /** Takes a result. */
    void finished(JobResult result) {
        if (items.remove(result.item()) == null) {
            return;
        }
        unrecorded.add(result);
        scheduleWrite(GATHER_MILLIS);
        proceed();
    }

    /** Takes over the items of the job. */
    private void load(JobContent content, List<JobResult> results, Map<String, ItemProgress> progress) {
        if (stopped) {
            return;
        }
        for (JobItem item : content.getItemsList()) {
            tokens.put(item.getId(), item.getTokens());
            if (results.stream().noneMatch(result -> result.item().equals(item.getId()))) {
                ItemProgress recorded = progress.getOrDefault(item.getId(), ItemProgress.getDefaultInstance());
                items.put(item.getId(), new ItemRun(context, this, item, recorded));
            }
        }
        loaded = true;
        proceed();
    }

    /** Schedules a write of the results that wait. */
    private void scheduleWrite(long millis) {
        if (!writing && !stopped) {
            writing = true;
            context.loop().schedule(this::write, millis, TimeUnit.MILLISECONDS);
        }
    }

    /** Writes results that wait and the progress of the other items. */
    private void write() {
        List<ItemProgress> progress = stopped ? List.of() : progress();
        if (stopped || (unrecorded.isEmpty() && progress.isEmpty() && !handingOver)) {
            writing = false;
            return;
        }
        progressAt = context.time().nanos();
        List<JobResult> results = new ArrayList<>();
        int bytes = 0;
        for (JobResult result : unrecorded) {
            boolean fits =
                    results.size() < COMMIT_MOST && bytes + result.output().length() <= COMMIT_BYTES;
            if (fits || results.isEmpty()) {
                results.add(result);
                bytes += result.output().length();
            }
        }
        long waiting = job.row().getTokensWaiting()
                - results.stream()
                        .mapToLong(result -> tokens.getOrDefault(result.item(), 0L))
                        .sum();
        boolean last = handingOver && results.size() == unrecorded.size();
        JobRow after = job.row().toBuilder()
                .setRecorded(job.row().getRecorded() + results.size())
                .setTokensWaiting(Math.max(0, waiting))
                .setOwner(last ? "" : job.row().getOwner())
                .build();
        context.store()
                .write(job, results, progress, after)
                .subscribe(written -> context.loop().execute(() -> written(results, progress, after, written)));
    }

    /** Returns the progress of items that is not recorded, as much as one commit holds beside results. */
    private List<ItemProgress> progress() {
        List<ItemProgress> progress = new ArrayList<>();
        int bytes = 0;
        for (ItemRun item : items.values()) {
            ItemProgress next = item.progress().orElse(null);
            if (next != null
                    && progress.size() < PROGRESS_MOST
                    && bytes + next.getOutput().size() <= PROGRESS_BYTES) {
                progress.add(next);
                bytes += next.getOutput().size();
            }
        }
        return progress;
    }

    /** Takes the outcome of a write. */
    private void written(
            List<JobResult> results, List<ItemProgress> progress, JobRow after, Either<Failure, JobRecord> outcome) {
        writing = false;
        if (stopped) {
            return;
        }
        if (outcome.isLeft()) {
            context.events()
                    .record(GatewayEvent.JOB_WRITE_FAILED, "job", id(), "step", "record", "failure", outcome.getLeft());
            scheduleWrite(RETRY_MILLIS);
            return;
        }
        JobRecord record = outcome.get();
        if (!record.row().equals(after)) {
            adopt(record);
            return;
        }
        job = record;
        unrecorded.removeAll(results);
        progress.forEach(this::recorded);
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
            changed.accept(record);
        }
        if (after.getOwner().isEmpty()) {
            context.events().record(GatewayEvent.JOB_HANDED_OVER, "job", id(), "version", record.version());
            stop();
        } else if (handingOver) {
            scheduleWrite(0);
        } else if (!record.open()) {
            context.events().record(GatewayEvent.JOB_ENDED, "job", id(), "recorded", after.getRecorded());
            stopped = true;
        } else if (!unrecorded.isEmpty()) {
            scheduleWrite(0);
        }
        proceed();
    }

    /** Notes what is recorded of an item. */
    private void recorded(ItemProgress progress) {
        ItemRun item = items.get(progress.getItem());
        if (item != null) {
            item.recorded(progress);
        }
    }

    /** Takes over what another writer, or an earlier write of this instance, has recorded. */
    private void adopt(JobRecord record) {
        boolean own = record.row().getOwner().equals(context.dispatch().self());
        boolean advanced = record.row().getRecorded() > job.row().getRecorded();
        job = record;
        changed.accept(record);
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
            context.store().results(id(), 0).subscribe(read -> context.loop().execute(() -> dropRecorded(read)));
        } else if (!unrecorded.isEmpty() || handingOver) {
            scheduleWrite(0);
        }
    }

    /** Drops the results that turned out to be recorded. */
    private void dropRecorded(Either<Failure, List<JobResult>> read) {
        writing = false;
        if (read.isLeft() || read.get().size() < job.row().getRecorded()) {
            writing = true;
            context.loop()
                    .schedule(
                            () -> context.store()
                                    .results(id(), 0)
                                    .subscribe(next -> context.loop().execute(() -> dropRecorded(next))),
                            RETRY_MILLIS,
                            TimeUnit.MILLISECONDS);
            return;
        }
        for (JobResult result : read.get()) {
            unrecorded.removeIf(waiting -> waiting.item().equals(result.item()));
            ItemRun item = items.remove(result.item());
            if (item != null) {
                item.stop();
            }
        }
        if (!unrecorded.isEmpty() || handingOver) {
            scheduleWrite(0);
        }
    }

    /** Returns the route of the job, if it still exists. */
    private Optional<Route> route() {
        return context.fleet()
                .configuration()
                .flatMap((FleetConfiguration known) ->
                        known.route(host(), job.row().getPath()))
                .filter(route -> route.kind() == RouteKind.BATCH);
    }
}
