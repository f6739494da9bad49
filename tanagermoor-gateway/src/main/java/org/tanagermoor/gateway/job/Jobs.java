package org.tanagermoor.gateway.job;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.edge.CallHead;
import org.tanagermoor.gateway.edge.CallerRequest;
import org.tanagermoor.gateway.edge.Refusal;
import org.tanagermoor.gateway.fleet.FleetConfiguration;
import org.tanagermoor.gateway.fleet.Route;
import org.tanagermoor.gateway.follow.ChangeFeed;
import org.tanagermoor.gateway.member.Liveness;
import org.tanagermoor.gateway.proto.JobContent;
import org.tanagermoor.gateway.proto.JobItem;
import org.tanagermoor.gateway.proto.JobRow;
import org.tanagermoor.kernel.failure.Execution;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.fleet.Rendezvous;

/**
 * All jobs of the fleet as this instance knows them. Runs the jobs that this instance owns, takes over those whose
 * owner is gone, and answers the requests of callers about jobs. Confined to the event loop.
 */
public final class Jobs {

    /** Delay after which a caller can retry while the store does not answer, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 500;

    /** Delay after which a team can retry when too many of its tokens are waiting, in milliseconds. */
    private static final long LIMIT_RETRY_DELAY_MILLIS = 1_000;

    /**
     * Time after the start of this instance before it takes over jobs whose owner it has not seen running, in
     * nanoseconds.
     */
    private static final long STARTUP_GRACE_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Time after which it is logged that a job does not run, in nanoseconds: several attempts to take it over. */
    private static final long NOT_RUN_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final JobContext context;

    /** Tells which instances run. */
    private final Liveness liveness;

    /** Whether the store has recently confirmed that there is no newer state of the jobs. */
    private final BooleanSupplier upToDate;

    /** All known jobs, by identity. */
    private final Map<String, JobView> jobs = new HashMap<>();

    /** The jobs that this instance runs, by identity. */
    private final Map<String, JobRun> runs = new HashMap<>();

    /** Identities of the jobs that this instance is taking over, or will try to take over again after a pause. */
    private final Set<String> takingOver = new HashSet<>();

    /** Monotonic time in nanoseconds since which a job should run here and does not, by identity. */
    private final Map<String, Long> notRunSince = new HashMap<>();

    /** Identities of those of them whose delay has been logged. */
    private final Set<String> notRunRecorded = new HashSet<>();

    /** Failures to take over jobs, by identity. */
    private final Map<String, StepFailures> takeOverFailures = new HashMap<>();

    private final JobRetention retention;

    /** Whether the jobs of this instance are handed over, also those whose acceptance or take-over is in progress. */
    private boolean handingOver;

    /** Whether no job is left to be handed over; read by the thread that performs a planned stop. */
    private volatile boolean handedOver;

    /** Monotonic time of the start in nanoseconds. */
    private final long startedAt;

    private Jobs(JobContext context, Liveness liveness, BooleanSupplier upToDate) {
        this.context = context;
        this.liveness = liveness;
        this.upToDate = upToDate;
        startedAt = context.time().nanos();
        retention = new JobRetention(context);
    }

    /**
     * Returns the jobs of an instance that does not know any yet.
     *
     * @param context The dependencies of jobs.
     * @param liveness Tells which instances run.
     * @param upToDate Tells whether the store has recently confirmed that there is no newer state of the jobs.
     */
    public static Jobs of(JobContext context, Liveness liveness, BooleanSupplier upToDate) {
        return new Jobs(context, liveness, upToDate);
    }

    /** Applies changes of the table of jobs. Rows that cannot be read are logged and skipped. */
    public void rowsChanged(List<ChangeFeed.Change> rows) {
        for (ChangeFeed.Change row : rows) {
            byte[] value = row.value();
            if (value == null) {
                jobs.remove(row.key());
                takeOverFailures.remove(row.key());
                continue;
            }
            Either<Failure, JobRecord> record = JobStore.record(value, row.version());
            if (record.isLeft()) {
                context.events().record(GatewayEvent.ROW_UNREADABLE, "row", row.key(), "failure", record.getLeft());
                continue;
            }
            observe(record.get());
        }
    }

    /** Gives up the place of an item, because an online request needs it. */
    public void recall(long permit) {
        ItemRun run = context.runs().get(permit);
        if (run != null) {
            run.recall();
        }
    }

    /**
     * Takes over jobs whose owner is gone, continues the jobs of this instance, and deletes jobs after their retention.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public void tick(long now) {
        runs.values().removeIf(JobRun::stopped);
        forEachRun(run -> run.check(now));
        if (handingOver) {
            forEachRun(JobRun::handOver);
            handedOver = runs.isEmpty();
        }
        if (liveness.stopping()) {
            return;
        }
        List<JobRecord> missing = jobs.values().stream()
                .map(JobView::record)
                .filter(record -> runIsMissing(record, now))
                .toList();
        missing.forEach(this::takeOver);
        recordNotRun(missing, now);
        forEachRun(JobRun::askForPlaces);
        retention.tick(
                List.copyOf(jobs.values()),
                job -> ranksFirst(job, now),
                now,
                context.time().wallMillis());
    }

    /** Returns whether a job should run on this instance and does not. */
    private boolean runIsMissing(JobRecord record, long now) {
        return record.open() && !runs.containsKey(record.row().getId()) && shouldTakeOver(record, now);
    }

    /**
     * Logs once for each time that a job which should run here has for long not done so.
     *
     * @param missing The jobs that should run here and do not.
     * @param now The current monotonic time in nanoseconds.
     */
    private void recordNotRun(Collection<JobRecord> missing, long now) {
        notRunSince
                .keySet()
                .retainAll(missing.stream().map(record -> record.row().getId()).collect(Collectors.toSet()));
        notRunRecorded.retainAll(notRunSince.keySet());
        for (JobRecord record : missing) {
            String id = record.row().getId();
            if (now - notRunSince.computeIfAbsent(id, key -> now) >= NOT_RUN_NANOS && notRunRecorded.add(id)) {
                context.events()
                        .record(
                                GatewayEvent.JOB_NOT_RUN,
                                "job",
                                id,
                                "team",
                                record.row().getTeam(),
                                "owner",
                                record.row().getOwner(),
                                "reason",
                                takingOver.contains(id) ? "its take-over has not ended" : "no take-over has begun",
                                "version",
                                record.version());
            }
        }
    }

    /** Hands over all jobs of this instance to other instances. */
    public void handOver() {
        handingOver = true;
        handedOver = runs.isEmpty();
        forEachRun(JobRun::handOver);
    }

    /** Does something with each run of a job, also if that fails for another one. */
    private void forEachRun(Consumer<JobRun> action) {
        List.copyOf(runs.values()).forEach(run -> context.duties().run(JobRun.DUTY, () -> action.accept(run)));
    }

    /** Returns whether no job is left to be handed over in a planned stop. Safe for use by any thread. */
    public boolean handedOver() {
        return handedOver;
    }

    /**
     * Stores a job and starts it. Refuses it if too many tokens of the team are waiting, or if it could not be stored.
     * A job that is already known is answered as accepted.
     */
    public void submit(CallHead head, Route route, String team, List<JobItem> items, Consumer<JobAnswer> answer) {
        JobView known = jobs.get(head.id());
        if (known != null) {
            answer.accept(new JobAnswer.Accepted());
            return;
        }
        long tokens = items.stream().mapToLong(JobItem::getTokens).sum();
        long limit = route.batch().maxWaitingTokens();
        if (limit > 0 && waitingTokens(team, route) + tokens > limit) {
            refuse(
                    head,
                    new Refusal(Refusal.Kind.RATE_LIMITED, LIMIT_RETRY_DELAY_MILLIS, "too many tokens are waiting"),
                    answer);
            return;
        }
        JobRow accepted = JobRow.newBuilder()
                .setId(head.id())
                .setTeam(team)
                .setHost(head.host())
                .setPath(head.path())
                .setAcceptedMillis(context.time().wallMillis())
                .setTotal(items.size())
                .setTokensWaiting(tokens)
                .setOwner(liveness.stopping() ? "" : context.dispatch().self())
                .setAcceptedStoreMillis(
                        context.storeClock().millis(context.time().nanos()).orElse(0))
                .build();
        JobRow row = new JobRoute.Known(route, configurationVersion()).recordIn(accepted);
        JobContent content = JobContent.newBuilder().addAllItems(items).build();
        context.store()
                .accept(row, content)
                .subscribe(result -> context.loop().execute(() -> accepted(head, row, content, result, answer)));
    }

    /** Returns the version of the configuration in use; 0 if there is none. */
    private long configurationVersion() {
        return context.fleet().configuration().map(FleetConfiguration::version).orElse(0L);
    }

    /** Answers with results of a job, immediately or as soon as there are some. */
    public void results(CallerRequest.ReadResults request, String team, Consumer<JobAnswer> answer) {
        find(request.job(), team, answer, view -> {
            if (request.after() >= view.record().row().getRecorded() && !upToDate.getAsBoolean()) {
                refresh(view, request, answer);
            } else {
                view.read(request.after(), request.waitMillis(), answer);
            }
        });
    }

    /** Answers with the body of an item of a job, unless the job was ended. */
    public void item(CallerRequest.ReadItem request, String team, Consumer<JobAnswer> answer) {
        find(request.job(), team, answer, view -> {
            if (view.record().row().getEnded()) {
                answer.accept(notFound("the job has ended"));
                return;
            }
            context.store()
                    .content(view.record().row())
                    .subscribe(result -> context.loop()
                            .execute(() -> answer.accept(
                                    result.isLeft()
                                            ? unavailable(result.getLeft())
                                            : body(result.get(), request.item()))));
        });
    }

    /** Ends a job, so that its remaining items are not run. */
    public void end(CallerRequest.EndJob request, String team, Consumer<JobAnswer> answer) {
        find(request.job(), team, answer, view -> end(view.record(), answer));
    }

    /** Ends a job, unless it has ended. Tries again if its row was changed by another writer. */
    private void end(JobRecord record, Consumer<JobAnswer> answer) {
        if (!record.open()) {
            answer.accept(new JobAnswer.Ended());
            return;
        }
        JobRow after = record.row().toBuilder().setEnded(true).build();
        context.store()
                .write(record, List.of(), after)
                .subscribe(result -> context.loop().execute(() -> {
                    if (result.isLeft()) {
                        answer.accept(unavailable(result.getLeft()));
                        return;
                    }
                    observe(result.get());
                    end(result.get(), answer);
                }));
    }

    /** Handles the outcome of storing a submitted job. */
    private void accepted(
            CallHead head,
            JobRow row,
            JobContent content,
            Either<Failure, JobRecord> result,
            Consumer<JobAnswer> answer) {
        if (result.isLeft()) {
            refuse(head, refusal(result.getLeft()), answer);
            return;
        }
        JobRecord record = result.get();
        context.metrics().jobAccepted();
        context.events()
                .record(
                        GatewayEvent.JOB_ACCEPTED,
                        "request",
                        head.id(),
                        "team",
                        row.getTeam(),
                        "items",
                        row.getTotal(),
                        "version",
                        record.version(),
                        "owner",
                        record.row().getOwner());
        observe(record);
        if (record.row().equals(row) && !row.getOwner().isEmpty() && !runs.containsKey(row.getId())) {
            run(record).start(content);
        }
        answer.accept(new JobAnswer.Accepted());
    }

    /** Returns the refusal of a job that could not be stored, or may not have been. */
    private static Refusal refusal(Failure failure) {
        String detail = failure.toString();
        if (failure.execution() != Execution.NOT_RUN) {
            return Refusal.of(Refusal.Kind.TIMEOUT, detail);
        }
        return switch (failure.kind()) {
            case TOO_LARGE -> Refusal.of(Refusal.Kind.TOO_LARGE, detail);
            case INVALID -> Refusal.of(Refusal.Kind.MALFORMED, detail);
            default -> new Refusal(Refusal.Kind.UNAVAILABLE, RETRY_DELAY_MILLIS, detail);
        };
    }

    /** Updates the view and the run of a job from its row. */
    private void observe(JobRecord record) {
        String id = record.row().getId();
        JobView view = jobs.computeIfAbsent(id, key -> new JobView(context, record));
        view.update(record);
        JobRun run = runs.get(id);
        if (run != null) {
            run.update(record);
        }
    }

    /** Creates and registers the run of a job on this instance. */
    private JobRun run(JobRecord record) {
        String id = record.row().getId();
        JobView view = jobs.get(id);
        long knownSince = view == null ? context.time().nanos() : view.knownSince();
        JobRun run = new JobRun(context, record, knownSince, this::onRecorded);
        runs.put(id, run);
        return run;
    }

    /** Updates the view of a job from a row that its run has recorded. */
    private void onRecorded(JobRecord record) {
        JobView view = jobs.get(record.row().getId());
        if (view != null) {
            view.update(record);
        }
    }

    /**
     * Returns whether this instance should take over a job: its own one that does not run, or one whose owner is gone.
     */
    private boolean shouldTakeOver(JobRecord record, long now) {
        String owner = record.row().getOwner();
        if (owner.equals(context.dispatch().self())) {
            return true;
        }
        if (owner.startsWith(liveness.self().id().name() + "~")) {
            return true;
        }
        if (liveness.runs(owner, now) || (!owner.isEmpty() && now - startedAt < STARTUP_GRACE_NANOS)) {
            return false;
        }
        return ranksFirst(record, now);
    }

    /**
     * Returns whether this instance ranks first for a job among the serving instances, and takes care of it if it has
     * no owner.
     */
    private boolean ranksFirst(JobRecord record, long now) {
        return Rendezvous.first(
                        record.row().getId(),
                        liveness.serving(now),
                        instance -> instance.id().name())
                .filter(instance -> instance.id().equals(liveness.self().id()))
                .isPresent();
    }

    /** Records this instance as the owner of a job, and resumes the job. */
    private void takeOver(JobRecord record) {
        String id = record.row().getId();
        if (!takingOver.add(id)) {
            return;
        }
        JobRoute route = JobRoute.of(context.fleet().configuration(), record.row());
        JobRow after = route.recordIn(record.row()).toBuilder()
                .setOwner(context.dispatch().self())
                .build();
        context.duties()
                .call(
                        "take over",
                        () -> context.store().write(record, List.of(), after),
                        result -> takenOver(record, result),
                        RETRY_DELAY_MILLIS,
                        () -> takingOver.remove(id));
    }

    /** Resumes a job whose owner this instance has become, unless another one was quicker. */
    private void takenOver(JobRecord before, Either<Failure, JobRecord> result) {
        String id = before.row().getId();
        if (result.isLeft()) {
            long pauseMillis = takeOverFailures
                    .computeIfAbsent(id, key -> new StepFailures(context, id, "take-over"))
                    .add(result.getLeft());
            context.loop().schedule(() -> takingOver.remove(id), pauseMillis, TimeUnit.MILLISECONDS);
            return;
        }
        takingOver.remove(id);
        takeOverFailures.remove(id);
        JobRecord after = result.get();
        observe(after);
        if (after.row().getOwner().equals(context.dispatch().self()) && after.open() && !runs.containsKey(id)) {
            context.events()
                    .record(
                            GatewayEvent.JOB_TAKEN_OVER,
                            "job",
                            id,
                            "from",
                            before.row().getOwner(),
                            "version",
                            after.version());
            run(after).resume();
        }
    }

    /** Returns the number of waiting tokens of a team on a route. */
    private long waitingTokens(String team, Route route) {
        Optional<FleetConfiguration> known = context.fleet().configuration();
        long sum = 0;
        for (JobView view : jobs.values()) {
            JobRow row = view.record().row();
            boolean counts = view.record().open()
                    && row.getTeam().equals(team)
                    && known.flatMap(configuration -> configuration.route(row.getHost(), row.getPath()))
                            .filter(other -> other.name().equals(route.name()))
                            .isPresent();
            sum += counts ? row.getTokensWaiting() : 0;
        }
        return sum;
    }

    /** Finds a job among the known ones or in the store. */
    private void find(String id, String team, Consumer<JobAnswer> answer, Consumer<JobView> found) {
        JobView known = jobs.get(id);
        if (known != null) {
            found(known, team, answer, found);
            return;
        }
        context.store()
                .read(id)
                .subscribe(result -> context.loop().execute(() -> {
                    if (result.isLeft()) {
                        answer.accept(unavailable(result.getLeft()));
                    } else if (result.get().isEmpty()) {
                        answer.accept(notFound("no such job"));
                    } else {
                        observe(result.get().get());
                        JobView view = jobs.get(id);
                        if (view != null) {
                            found(view, team, answer, found);
                        }
                    }
                }));
    }

    /** Continues with a job that was found, unless it belongs to another team. */
    private static void found(JobView view, String team, Consumer<JobAnswer> answer, Consumer<JobView> next) {
        if (view.record().row().getTeam().equals(team)) {
            next.accept(view);
        } else {
            answer.accept(notFound("no such job"));
        }
    }

    /** Reads the row of a job from the store before answering that there are no new results. */
    private void refresh(JobView view, CallerRequest.ReadResults request, Consumer<JobAnswer> answer) {
        context.store()
                .read(request.job())
                .subscribe(result -> context.loop().execute(() -> {
                    if (result.isLeft()) {
                        answer.accept(unavailable(result.getLeft()));
                        return;
                    }
                    result.get().ifPresent(this::observe);
                    view.read(request.after(), request.waitMillis(), answer);
                }));
    }

    /** Returns the answer with the body of an item, or that the item does not exist. */
    private static JobAnswer body(JobContent content, String id) {
        List<JobItem> found = new ArrayList<>();
        for (JobItem item : content.getItemsList()) {
            if (item.getId().equals(id)) {
                found.add(item);
            }
        }
        return found.isEmpty()
                ? notFound("no such item")
                : new JobAnswer.Item(found.get(0).getBody().toByteArray());
    }

    /** Logs and counts the refusal of a submitted job, and answers with it. */
    private void refuse(CallHead head, Refusal refusal, Consumer<JobAnswer> answer) {
        context.events()
                .record(
                        GatewayEvent.JOB_REFUSED,
                        "request",
                        head.id(),
                        "kind",
                        refusal.kind(),
                        "detail",
                        refusal.detail());
        context.metrics().refused(refusal.kind());
        answer.accept(new JobAnswer.Refused(refusal));
    }

    /** Returns the answer for a store that does not answer. */
    private static JobAnswer unavailable(Failure failure) {
        return new JobAnswer.Refused(new Refusal(Refusal.Kind.UNAVAILABLE, RETRY_DELAY_MILLIS, failure.toString()));
    }

    /** Returns the answer for a job or an item that does not exist. */
    private static JobAnswer notFound(String detail) {
        return new JobAnswer.Refused(Refusal.of(Refusal.Kind.NOT_FOUND, detail));
    }
}
