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
import org.tanagermoor.gateway.dispatch.Verdict;
import org.tanagermoor.gateway.dispatch.Work;
import org.tanagermoor.gateway.fleet.Route;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.gateway.forward.EventFrames;
import org.tanagermoor.gateway.forward.TargetConnections;
import org.tanagermoor.gateway.forward.TargetHead;
import org.tanagermoor.gateway.forward.TargetListener;
import org.tanagermoor.gateway.forward.TargetRequest;
import org.tanagermoor.gateway.proto.ItemHeader;
import org.tanagermoor.gateway.proto.ItemProgress;
import org.tanagermoor.gateway.proto.JobItem;
import org.tanagermoor.kernel.failure.Execution;
import org.tanagermoor.kernel.failure.Failure;

/**
 * An item of a job that this instance runs. What a broken or recalled run has produced is kept, and the next run goes
 * on after it. Confined to the event loop.
 */
public final class ItemRun implements TargetListener, AskOrder.Candidate {

    /** The status of a target that failed at the item. */
    private static final int FAILED_STATUS = 500;

    /** The status of a target that says that the item can never be done. */
    private static final int IMPOSSIBLE_STATUS = 422;

    /** The status of a good answer. */
    private static final int OK_STATUS = 200;

    /** The time before an item runs again after a failure, in milliseconds. */
    private static final long RETRY_MILLIS = 200;

    /** The longest useful wait for a place in nanoseconds; the item asks again afterwards. */
    private static final long WAIT_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** The silence after which a target counts as lost, in nanoseconds: many pauses between events of a slow one. */
    private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    /** The most characters of an output: readers get 1 MB at once. A target may also send events without end. */
    private static final int OUTPUT_MOST = 900_000;

    /** What jobs need. */
    private final JobContext context;

    /** The job. */
    private final JobRun job;

    /** The item. */
    private final JobItem item;

    /** The data of the events that have come. */
    private final StringBuilder output = new StringBuilder();

    /** The targets that must not be chosen for the next run. */
    private final Set<String> excluded = new HashSet<>();

    /** The state. */
    private State state = State.IDLE;

    /** The number of the last event that has come. */
    private long lastEvent;

    /** The number of the last event that is recorded. */
    private long recordedEvent;

    /** The failures that are recorded. */
    private int recordedFailures;

    /** The answers that say that a target failed. */
    private int failures;

    /** The permit; 0 for none. */
    private long permit;

    /** The target, or {@code null}. */
    @Nullable
    private TargetEntry target;

    /** The exchange, or {@code null}. */
    private TargetConnections.@Nullable Exchange exchange;

    /** Cuts the answer into events. */
    private EventFrames frames = EventFrames.of();

    /** The status of the present answer. */
    private int status;

    /** The monotonic time in nanoseconds at which the head or a new event last came from the target. */
    private long heardAt;

    /** The monotonic time in nanoseconds at which the present run began. */
    private long begunAt;

    /** The number of the event after which the present run began. */
    private long begunAfter;

    /** Records what becomes of the item. */
    private final ItemLog log;

    /** Creates a run of an item, which goes on after what an earlier owner has recorded. */
    ItemRun(JobContext context, JobRun job, JobItem item, ItemProgress recorded) {
        this.context = context;
        this.job = job;
        this.item = item;
        output.append(recorded.getOutput().toStringUtf8());
        lastEvent = recorded.getLastEvent();
        failures = recorded.getFailures();
        recordedEvent = lastEvent;
        recordedFailures = failures;
        log = new ItemLog(context, job, item.getId(), context.time().nanos());
    }

    /** Returns the item. */
    JobItem item() {
        return item;
    }

    /** {@inheritDoc} */
    @Override
    public boolean idle() {
        return state == State.IDLE;
    }

    /** {@inheritDoc} */
    @Override
    public boolean begun() {
        return lastEvent > 0;
    }

    /** {@inheritDoc} */
    @Override
    public boolean asking() {
        return state == State.ASKING;
    }

    /** Returns whether the run has produced more than what is recorded. */
    boolean unrecorded() {
        return state != State.DONE && (lastEvent != recordedEvent || failures != recordedFailures);
    }

    /** Returns what the run has produced, if that is more than what is recorded and fits into a row. */
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
                .filter(JobStore::fits);
    }

    /** Notes what is recorded of the run. */
    void recorded(ItemProgress progress) {
        recordedEvent = Math.max(recordedEvent, progress.getLastEvent());
        recordedFailures = Math.max(recordedFailures, progress.getFailures());
    }

    /** Ends a run at a target that has gone silent, and lets the item go on elsewhere. */
    void watch(long now) {
        if (state == State.RUNNING && now - heardAt > SILENCE_NANOS) {
            brokenOff("no event came for " + TimeUnit.NANOSECONDS.toMillis(now - heardAt) + " ms");
        }
    }

    /**
     * Asks for a place.
     *
     * @param route The route of the job.
     * @param dueNanos The time until the job is due, in nanoseconds.
     */
    void ask(Route route, long dueNanos) {
        state = State.ASKING;
        log.enter(ItemLog.Phase.WAITING, context.time().nanos());
        permit = context.dispatch().nextPermit();
        long asked = permit;
        Work work = context.pace().left(lastEvent);
        context.runs().put(asked, this);
        context.dispatch()
                .ask(
                        new Ask(
                                context.dispatch().self(),
                                permit,
                                route.service(0),
                                "",
                                context.domain(),
                                0,
                                WAIT_NANOS,
                                dueNanos - work.nanos(),
                                work,
                                true,
                                false,
                                Set.copyOf(excluded)),
                        verdict -> decided(asked, verdict));
    }

    /** Ends the run; nothing follows. */
    void stop() {
        endRun(ItemLog.RunEnd.STOPPED, "the item is no longer wanted here");
        state = State.DONE;
        stopExchange();
        returnPermit(PlaceOutcome.UNUSED);
    }

    /** Ends the present run and begins no other; what has come is kept. */
    void suspend() {
        if (state != State.DONE) {
            endRun(ItemLog.RunEnd.SUSPENDED, "the job is handed over");
            state = State.SUSPENDED;
            stopExchange();
            returnPermit(PlaceOutcome.UNUSED);
        }
    }

    /** Gives the place up for an online request, and keeps what has come. */
    void recall() {
        if (state == State.RUNNING) {
            endRun(ItemLog.RunEnd.RECALLED, "the place is needed by an online request");
            stopExchange();
            again(PlaceOutcome.UNUSED, 0);
        }
    }

    /** Takes the verdict on the ask. */
    private void decided(long asked, Verdict verdict) {
        if (state != State.ASKING || permit != asked) {
            return;
        }
        switch (verdict) {
            case Verdict.Granted granted -> run(granted.target());
            case Verdict.Refused refused -> {
                context.runs().remove(permit);
                permit = 0;
                excluded.clear();
                pause(Math.max(RETRY_MILLIS, refused.retryAfterMillis()));
            }
        }
    }

    /** Runs the item at a target. */
    private void run(String id) {
        TargetEntry entry = context.fleet().usableTarget(id).orElse(null);
        if (entry == null) {
            again(PlaceOutcome.UNUSED, RETRY_MILLIS);
            return;
        }
        state = State.RUNNING;
        begunAt = context.time().nanos();
        begunAfter = lastEvent;
        heardAt = begunAt;
        target = entry;
        frames = EventFrames.of();
        status = 0;
        log.placed(id, lastEvent, begunAt);
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
        heardAt = context.time().nanos();
        status = head.status();
        if (head.notRun() || head.misdirected()) {
            failedRun("the target did not run the item: " + status);
            excluded.add(targetId());
            stopExchange();
            again(PlaceOutcome.FULL, RETRY_MILLIS);
        } else if (status == IMPOSSIBLE_STATUS) {
            giveUp("the target says that the item can never be done");
        } else if (status != OK_STATUS) {
            failures += status == FAILED_STATUS ? 1 : 0;
            failedRun("the target answered " + status + ", failures " + failures);
            excluded.add(targetId());
            stopExchange();
            if (failures >= job.attempts()) {
                giveUp("the item failed at " + failures + " runs");
            } else {
                again(PlaceOutcome.SERVED, RETRY_MILLIS);
            }
        }
    }

    /** {@inheritDoc} */
    @Override
    public void body(ByteBuf content) {
        if (state != State.RUNNING || status != OK_STATUS) {
            return;
        }
        for (EventFrames.Event event : frames.add(content)) {
            if (event.comment()) {
                continue;
            }
            if (event.number() != lastEvent + 1) {
                brokenOff("event " + event.number() + " came after event " + lastEvent);
                return;
            }
            if (output.length() + event.data().length() >= OUTPUT_MOST) {
                brokenOff("the output is longer than a reader can get");
                output.setLength(0);
                lastEvent = 0;
                return;
            }
            output.append(lastEvent == 0 ? "" : "\n").append(event.data());
            lastEvent = event.number();
            heardAt = context.time().nanos();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void end() {
        if (state != State.RUNNING || status != OK_STATUS) {
            return;
        }
        exchange = null;
        if (lastEvent == 0 || frames.incompleteEvent().length > 0) {
            failedRun("the answer ended within an event");
            again(PlaceOutcome.FAILED, RETRY_MILLIS);
            return;
        }
        context.pace().ended(lastEvent);
        finish(new JobResult(item.getId(), true, output.toString()), PlaceOutcome.SERVED);
    }

    /** {@inheritDoc} */
    @Override
    public void failed(Failure failure) {
        if (state != State.RUNNING) {
            return;
        }
        exchange = null;
        failedRun(failure.detail());
        excluded.add(targetId());
        boolean reached = failure.execution() != Execution.NOT_RUN;
        again(reached ? PlaceOutcome.FAILED : PlaceOutcome.UNREACHABLE, reached ? RETRY_MILLIS : 0);
    }

    /** Gives the item up. */
    void giveUp(String reason) {
        if (state == State.DONE) {
            return;
        }
        context.events()
                .record(GatewayEvent.ITEM_ABANDONED, "request", item.getId(), "job", job.id(), "reason", reason);
        stopExchange();
        finish(new JobResult(item.getId(), false, ""), PlaceOutcome.SERVED);
    }

    /** Ends the run with a result. */
    private void finish(JobResult result, PlaceOutcome outcome) {
        endRun(ItemLog.RunEnd.DONE, "");
        log.ended(result.completed(), context.time().nanos());
        state = State.DONE;
        returnPermit(outcome);
        job.finished(result);
    }

    /** Lets the item run again. */
    private void again(PlaceOutcome outcome, long millis) {
        returnPermit(outcome);
        pause(millis);
    }

    /** Makes the item idle after a pause. */
    private void pause(long millis) {
        state = State.PAUSED;
        log.enter(ItemLog.Phase.IDLE, context.time().nanos());
        context.loop()
                .schedule(
                        () -> {
                            if (state == State.PAUSED) {
                                state = State.IDLE;
                                job.proceed();
                            }
                        },
                        millis,
                        TimeUnit.MILLISECONDS);
    }

    /** Ends the exchange. */
    private void stopExchange() {
        if (exchange != null) {
            exchange.cancel();
            exchange = null;
        }
    }

    /** Gives the permit back. */
    private void returnPermit(PlaceOutcome outcome) {
        if (permit != 0) {
            context.runs().remove(permit);
            context.dispatch().release(permit, outcome);
            permit = 0;
        }
    }

    /** Ends the present run, whose target does not do what it should, and lets the item go on elsewhere. */
    private void brokenOff(String detail) {
        failedRun(detail);
        excluded.add(targetId());
        stopExchange();
        again(PlaceOutcome.FAILED, RETRY_MILLIS);
    }

    /** Records that the target failed the present run. */
    private void failedRun(String detail) {
        context.metrics().exchangeFailed();
        endRun(ItemLog.RunEnd.FAILED, detail);
    }

    /** Records the end of the present run, if there is one. */
    private void endRun(ItemLog.RunEnd end, String detail) {
        if (state == State.RUNNING) {
            context.pace().ran(lastEvent - begunAfter, context.time().nanos() - begunAt);
        }
        log.runEnded(
                end,
                detail,
                targetId(),
                lastEvent,
                recordedEvent,
                context.time().nanos());
    }

    /** Returns the identity of the target; empty if there is none. */
    private String targetId() {
        return target == null ? "" : target.id();
    }

    /** What an item does. */
    private enum State {

        /** It may ask for a place. */
        IDLE,

        /** It waits for a place. */
        ASKING,

        /** It runs. */
        RUNNING,

        /** It waits after a failure. */
        PAUSED,

        /** It waits to be handed over. */
        SUSPENDED,

        /** It has a result, or is no longer wanted. */
        DONE
    }
}
