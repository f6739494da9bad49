package org.tanagermoor.gateway.job;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.dispatch.Ask;
import org.tanagermoor.gateway.dispatch.PlaceOutcome;
import org.tanagermoor.gateway.dispatch.PlacementDecision;
import org.tanagermoor.gateway.dispatch.RequestTraits;
import org.tanagermoor.gateway.dispatch.RunMeter;
import org.tanagermoor.gateway.dispatch.Work;
import org.tanagermoor.gateway.fleet.Route;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.gateway.forward.Delivery;
import org.tanagermoor.gateway.forward.EventFrames;
import org.tanagermoor.gateway.forward.TargetConnections;
import org.tanagermoor.gateway.forward.TargetHead;
import org.tanagermoor.gateway.forward.TargetListener;
import org.tanagermoor.gateway.forward.TargetRequest;
import org.tanagermoor.gateway.forward.Verdict;
import org.tanagermoor.gateway.prompt.PromptCodec;
import org.tanagermoor.gateway.proto.ItemHeader;
import org.tanagermoor.gateway.proto.ItemProgress;
import org.tanagermoor.gateway.proto.JobItem;
import org.tanagermoor.kernel.failure.Execution;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.prompt.Prompt;

/**
 * Runs an item of a job, which this instance owns, until the item has a result. For each run it asks the dispatcher for
 * a permit to use a place, which is room for one request at a target. The output of a run that failed, or whose place
 * was recalled for an online request, is kept, and the next run resumes after it. Confined to the event loop.
 */
public final class ItemRun implements TargetListener, AskOrder.Candidate {

    /** Status of a target that failed to run the item. */
    private static final int FAILED_STATUS = 500;

    /** Status of a target for an item that can never be completed. */
    private static final int UNPROCESSABLE_STATUS = 422;

    /** Delay before an item runs again after a failure, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 200;

    /** Maximum delay before an item runs again whose output was too long, in milliseconds. */
    private static final long MAX_TOO_LONG_PAUSE_MILLIS = 10_000;

    /**
     * Silence after which a target is considered lost, in nanoseconds: many times the pause between two events of a
     * slow target.
     */
    private static final long MAX_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    private final JobContext context;

    private final JobRun job;

    private final JobItem item;

    private final Prompt prompt;

    /** Data of the received events. */
    private final StringBuilder output = new StringBuilder();

    /**
     * Number of bytes of the output in an answer to a reader. The maximum also bounds the output of a target that sends
     * events without end.
     */
    private int answerBytes;

    /** Identities of the targets that must not be chosen for the next run. */
    private final Set<String> excluded = new HashSet<>();

    private ItemState state = ItemState.IDLE;

    /** Delay before the item runs again after its output has been too long, in milliseconds. */
    private long tooLongPauseMillis = RETRY_DELAY_MILLIS;

    /** Number of the last received event. */
    private long lastEvent;

    /** Number of the last event recorded in the store. */
    private long recordedEvent;

    /** Number of failures recorded in the store. */
    private int recordedFailures;

    /** Number of answers with the status of a failed target. */
    private int failures;

    /** Number of the permit that the item has or waits for; 0 for none. */
    private long permit;

    /** The service at which the item last asked for a place. */
    private String askedService = "";

    /** The target of the last run, or {@code null} before the first. */
    @Nullable
    private TargetEntry target;

    /** The current exchange with the target, or {@code null}. */
    private TargetConnections.@Nullable Exchange exchange;

    /** Splits the answer into events. */
    private EventFrames frames = EventFrames.of();

    /** Whether the head of a success was received in the current run. */
    private boolean accepted;

    /** Monotonic time at which the head or a new event was last received from the target, in nanoseconds. */
    private long lastReceivedAt;

    private final ItemHold hold;

    /** Monotonic time at which the current run started, in nanoseconds. */
    private long startedAt;

    private RunMeter meter = RunMeter.idle();

    /** Number of the last event before the current run. */
    private long startEvent;

    private final CrashPause crashPause = new CrashPause();

    private final ItemLog log;

    /** Creates the run of an item, which resumes after the progress that an earlier owner has recorded. */
    ItemRun(JobContext context, JobRun job, JobItem item, ItemProgress recorded) {
        this.context = context;
        this.job = job;
        this.item = item;
        prompt = PromptCodec.fromMessage(item.getPrompt());
        output.append(recorded.getOutput().toStringUtf8());
        answerBytes = context.answerBytes().applyAsInt(output.toString());
        lastEvent = recorded.getLastEvent();
        failures = recorded.getFailures();
        recordedEvent = lastEvent;
        recordedFailures = failures;
        hold = new ItemHold(context, job.id(), item.getId(), prompt);
        log = new ItemLog(context, job, item.getId(), prompt, context.time().nanos());
    }

    JobItem item() {
        return item;
    }

    /** {@inheritDoc} */
    @Override
    public boolean idle() {
        return state == ItemState.IDLE;
    }

    /** {@inheritDoc} */
    @Override
    public boolean started() {
        return lastEvent > 0;
    }

    /** {@inheritDoc} */
    @Override
    public boolean asking() {
        return state == ItemState.ASKING;
    }

    /** {@inheritDoc} */
    @Override
    public boolean heldBack() {
        return hold.heldBack();
    }

    /** Returns whether the item runs at a target. */
    boolean running() {
        return state == ItemState.RUNNING;
    }

    /** Returns whether the item has progress that is not recorded. */
    boolean unrecorded() {
        return state != ItemState.DONE && (lastEvent != recordedEvent || failures != recordedFailures);
    }

    /** Returns the progress of the item, if it is not recorded and fits into a row. */
    Optional<ItemProgress> progress() {
        if (!unrecorded()) {
            return Optional.empty();
        }
        return Optional.of(ItemProgress.newBuilder()
                        .setItem(item.getId())
                        .setLastEvent(lastEvent)
                        .setOutput(ByteString.copyFromUtf8(output.toString()))
                        .setFailures(failures)
                        .build())
                .filter(JobStore::fitsIntoRow);
    }

    /** Notes the progress that has been recorded in the store. */
    void recorded(ItemProgress progress) {
        recordedEvent = Math.max(recordedEvent, progress.getLastEvent());
        recordedFailures = Math.max(recordedFailures, progress.getFailures());
    }

    /** Ends the current run if its target has been silent for too long; the item resumes at another target. */
    void check(long now) {
        if (state == ItemState.RUNNING && now - lastReceivedAt > MAX_SILENCE_NANOS) {
            failExchange("no event came for " + TimeUnit.NANOSECONDS.toMillis(now - lastReceivedAt) + " ms");
        }
        log.recordWait(state.name(), excluded, lastEvent, now);
    }

    /**
     * Asks the dispatcher for a place. While a part of the prompt is held back, the item asks only some time after a
     * run that failed, and waits until it is its turn at a reserved target.
     *
     * @param route The route of the job.
     * @param dueNanos The time until the job is due, in nanoseconds.
     */
    void ask(Route route, long dueNanos) {
        long pauseMillis = hold.pauseMillis(route, context.time().nanos());
        if (pauseMillis > 0) {
            pause(pauseMillis);
            return;
        }
        if (hold.heldBack()) {
            excluded.clear();
        }
        state = ItemState.ASKING;
        log.enter(ItemLog.Phase.WAITING, context.time().nanos());
        permit = context.dispatch().nextPermit();
        long askedPermit = permit;
        askedService = JobTerms.itemService(route);
        Work work = context.pace().remaining(lastEvent);
        RequestTraits traits = RequestTraits.of(
                route, job.team(), item.getTokens(), context.fleet().configuration());
        context.runs().put(askedPermit, this);
        context.dispatch()
                .ask(
                        new Ask(
                                        context.dispatch().self(),
                                        permit,
                                        askedService,
                                        "",
                                        context.domain(),
                                        0,
                                        hold.waitNanos(route),
                                        dueNanos - work.nanos(),
                                        work,
                                        true,
                                        false,
                                        context.fleet().withLeaving(excluded))
                                .withPrompt(prompt)
                                .withTraits(traits),
                        decision -> onDecision(askedPermit, decision));
    }

    /** Stops waiting for a place; the item can ask again. */
    void withdraw() {
        if (state == ItemState.ASKING) {
            returnPermit(PlaceOutcome.UNUSED);
            state = ItemState.IDLE;
            log.enter(ItemLog.Phase.IDLE, context.time().nanos());
        }
    }

    /** Stops waiting for a place, unless it is one at the given service. */
    void withdrawUnlessAsking(String service) {
        if (!askedService.equals(service)) {
            withdraw();
        }
    }

    /** Ends the current run; the item does not run again on this instance. */
    void stop() {
        endRun(ItemLog.RunEnd.STOPPED, "the item is no longer wanted here");
        state = ItemState.DONE;
        stopExchange();
        returnPermit(PlaceOutcome.UNUSED);
    }

    /** Ends the current run and starts no other while the job is handed over; the received output is kept. */
    void suspend() {
        if (state != ItemState.DONE) {
            endRun(ItemLog.RunEnd.SUSPENDED, "the job is handed over");
            state = ItemState.SUSPENDED;
            stopExchange();
            returnPermit(PlaceOutcome.UNUSED);
        }
    }

    /** Ends the current run, because an online request needs its place; the received output is kept. */
    void recall() {
        if (state == ItemState.RUNNING) {
            endRun(ItemLog.RunEnd.RECALLED, "the place is needed by an online request");
            stopExchange();
            retry(PlaceOutcome.UNUSED, 0);
        }
    }

    /** Handles the decision of the dispatcher, unless the item no longer waits for this permit. */
    private void onDecision(long askedPermit, PlacementDecision decision) {
        if (state != ItemState.ASKING || permit != askedPermit) {
            return;
        }
        switch (decision) {
            case PlacementDecision.Granted granted -> run(granted.target());
            case PlacementDecision.Refused refused -> {
                context.runs().remove(permit);
                permit = 0;
                excluded.clear();
                log.refused(refused.reason(), refused.detail());
                long millis = Math.max(RETRY_DELAY_MILLIS, refused.retryAfterMillis());
                pause(
                        refused.reason() == PlacementDecision.Reason.QUARANTINED
                                ? hold.refused(refused.detail(), millis)
                                : millis);
            }
        }
    }

    /** Runs the item at the target with the given identity. */
    private void run(String id) {
        TargetEntry entry = context.fleet().usableTarget(id).orElse(null);
        if (entry == null) {
            log.refused(PlacementDecision.Reason.NO_TARGET, id + " is not usable here");
            excluded.add(id);
            retry(PlaceOutcome.UNUSED, RETRY_DELAY_MILLIS);
            return;
        }
        if (!job.mayRunAt(entry.service())) {
            log.refused(PlacementDecision.Reason.NO_TARGET, "the route of the job no longer leads to " + id);
            retry(PlaceOutcome.UNUSED, RETRY_DELAY_MILLIS);
            return;
        }
        state = ItemState.RUNNING;
        hold.runStarted();
        startedAt = context.time().nanos();
        startEvent = lastEvent;
        meter = RunMeter.of(startedAt);
        lastReceivedAt = startedAt;
        target = entry;
        frames = EventFrames.of();
        accepted = false;
        log.recordRunStart(id, permit, lastEvent, startedAt);
        Map<String, String> headers = new LinkedHashMap<>();
        for (ItemHeader header : item.getHeadersList()) {
            headers.put(header.getName(), header.getValue());
        }
        headers.put("Host", job.host());
        ByteBuf body = Unpooled.wrappedBuffer(item.getBody().asReadOnlyByteBuffer());
        exchange = context.connections()
                .send(
                        entry,
                        new TargetRequest(
                                "POST",
                                item.getPath(),
                                headers.entrySet(),
                                body,
                                item.getId(),
                                job.team(),
                                0,
                                lastEvent),
                        this);
    }

    /** {@inheritDoc} */
    @Override
    public void head(TargetHead head, HttpResponse response) {
        lastReceivedAt = context.time().nanos();
        log.answerStarted(head);
        meter.head(head, lastReceivedAt);
        switch (Verdict.of(head)) {
            case Verdict.Succeeded succeeded -> accepted = true;
            case Verdict.NotRun notRun -> {
                recordFailedRun("the target did not run the item: " + head.status());
                excluded.add(targetId());
                stopExchange();
                retry(PlaceOutcome.FULL, RETRY_DELAY_MILLIS);
            }
            case Verdict.Unproven unproven -> failExchange("the target did not sign its answer: " + unproven.status());
            case Verdict.Failed failed
            when !head.signed() -> failExchange("the target did not sign its answer: " + failed.status());
            case Verdict.Failed failed -> failed(failed.status());
        }
    }

    /** Handles a failure that the target has signed. */
    private void failed(int status) {
        if (status == UNPROCESSABLE_STATUS) {
            abandon("the target says that the item can never be done", PlaceOutcome.SERVED);
            return;
        }
        failures += status == FAILED_STATUS ? 1 : 0;
        recordFailedRun("the target answered " + status + ", failures " + failures);
        excluded.add(targetId());
        stopExchange();
        if (failures >= job.attempts()) {
            abandon("the item failed in " + failures + " runs", PlaceOutcome.SERVED);
        } else {
            retry(PlaceOutcome.SERVED, RETRY_DELAY_MILLIS);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void body(ByteBuf content) {
        if (state != ItemState.RUNNING || !accepted) {
            return;
        }
        for (EventFrames.Event event : frames.add(content)) {
            if (event.comment()) {
                continue;
            }
            if (event.number() != lastEvent + 1) {
                failExchange("event " + event.number() + " came after event " + lastEvent);
                return;
            }
            String data = lastEvent == 0 ? event.data() : "\n" + event.data();
            answerBytes += context.answerBytes().applyAsInt(data);
            if (answerBytes > JobContext.MAX_ANSWER_BYTES) {
                failTooLong();
                return;
            }
            output.append(data);
            lastEvent = event.number();
            lastReceivedAt = context.time().nanos();
            meter.event(lastReceivedAt);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void end(Delivery delivery) {
        if (state != ItemState.RUNNING || !accepted) {
            return;
        }
        exchange = null;
        if (startEvent > 0 && lastEvent == startEvent && !frames.insideEvent()) {
            recordFailedRun("the target has no event after event " + lastEvent);
            beginAnew(RETRY_DELAY_MILLIS);
            return;
        }
        if (lastEvent == 0 || frames.insideEvent()) {
            recordFailedRun("the answer ended inside an event");
            excluded.add(targetId());
            retry(delivery.framed() ? PlaceOutcome.FAILED : endedOutcome(), RETRY_DELAY_MILLIS);
            return;
        }
        context.pace().recordEnd(lastEvent);
        finish(new JobResult(item.getId(), true, output.toString()), PlaceOutcome.SERVED);
    }

    /** {@inheritDoc} */
    @Override
    public void failed(Failure failure) {
        if (state != ItemState.RUNNING) {
            return;
        }
        exchange = null;
        recordFailedRun(failure.detail());
        excluded.add(targetId());
        if (failure.execution() == Execution.NOT_RUN) {
            retry(PlaceOutcome.UNREACHABLE, 0);
        } else {
            boolean connectionEnded = failure.kind() == Failure.Kind.UNAVAILABLE;
            retry(connectionEnded ? endedOutcome() : PlaceOutcome.FAILED, RETRY_DELAY_MILLIS);
        }
    }

    /** Returns the outcome of a run whose connection has ended too early. */
    private PlaceOutcome endedOutcome() {
        return PlaceOutcome.ofEarlyEnd(accepted, lastEvent - startEvent, true);
    }

    /** Ends the item, whose time is over, without completing it, and reports a result without output. */
    void abandon(String reason) {
        abandon(reason, PlaceOutcome.ABANDONED);
    }

    private void abandon(String reason, PlaceOutcome outcome) {
        if (state == ItemState.DONE) {
            return;
        }
        context.events()
                .record(GatewayEvent.ITEM_ABANDONED, "request", item.getId(), "job", job.id(), "reason", reason);
        stopExchange();
        finish(new JobResult(item.getId(), false, ""), outcome);
    }

    /** Ends the item with a result, and reports it to the job. */
    private void finish(JobResult result, PlaceOutcome outcome) {
        endRun(ItemLog.RunEnd.DONE, "");
        log.recordEnd(result.completed(), context.time().nanos());
        state = ItemState.DONE;
        returnPermit(outcome);
        job.finished(result);
    }

    /** Returns the permit, and lets the item ask again after a pause of at least some milliseconds. */
    private void retry(PlaceOutcome outcome, long millis) {
        long pauseMillis = Math.max(millis, crashPause.afterRun(outcome, lastEvent - startEvent));
        if (outcome.failure()) {
            hold.runFailed(context.time().nanos());
        }
        returnPermit(outcome);
        pause(pauseMillis);
    }

    /** Makes the item idle after a pause in milliseconds. */
    private void pause(long millis) {
        state = ItemState.PAUSED;
        log.enter(ItemLog.Phase.IDLE, context.time().nanos());
        context.loop()
                .schedule(
                        () -> {
                            if (state == ItemState.PAUSED) {
                                state = ItemState.IDLE;
                                job.askForPlaces();
                            }
                        },
                        millis,
                        TimeUnit.MILLISECONDS);
    }

    /** Cancels the exchange, if there is one. */
    private void stopExchange() {
        if (exchange != null) {
            exchange.cancel();
            exchange = null;
        }
    }

    /** Returns the permit to the dispatcher, if there is one. */
    private void returnPermit(PlaceOutcome outcome) {
        if (permit != 0) {
            context.runs().remove(permit);
            context.dispatch().release(permit, outcome, meter.end(context.time().nanos()));
            permit = 0;
            meter = RunMeter.idle();
        }
    }

    /**
     * Ends the current run, whose output no reader can receive; the item begins anew, at another target. It may be that
     * only this target adds events without end. Otherwise this is repeated ever more seldom, until the time for the job
     * is over.
     */
    private void failTooLong() {
        recordFailedRun(
                "the output is longer than " + JobContext.MAX_ANSWER_BYTES + " bytes, which a reader can receive");
        stopExchange();
        beginAnew(tooLongPauseMillis);
        tooLongPauseMillis = Math.min(MAX_TOO_LONG_PAUSE_MILLIS, 2 * tooLongPauseMillis);
    }

    /** Discards the output. The item runs from its beginning, at another target, after a pause in milliseconds. */
    private void beginAnew(long millis) {
        excluded.add(targetId());
        output.setLength(0);
        answerBytes = 0;
        lastEvent = 0;
        retry(PlaceOutcome.FAILED, millis);
    }

    /** Ends the current run, whose target misbehaves or is silent; the item resumes at another target. */
    private void failExchange(String detail) {
        recordFailedRun(detail);
        excluded.add(targetId());
        stopExchange();
        retry(PlaceOutcome.FAILED, RETRY_DELAY_MILLIS);
    }

    /** Records that the current run failed at its target. */
    private void recordFailedRun(String detail) {
        context.metrics().exchangeFailed();
        endRun(ItemLog.RunEnd.FAILED, detail);
    }

    /** Records the end of the current run, if there is one. */
    private void endRun(ItemLog.RunEnd end, String detail) {
        long now = context.time().nanos();
        if (state == ItemState.RUNNING) {
            context.pace().recordRun(lastEvent - startEvent, now - startedAt);
        }
        log.recordRunEnd(end, detail, targetId(), lastEvent, recordedEvent, now);
    }

    /** Returns the identity of the target; empty if there is none. */
    private String targetId() {
        return target == null ? "" : target.id();
    }
}
