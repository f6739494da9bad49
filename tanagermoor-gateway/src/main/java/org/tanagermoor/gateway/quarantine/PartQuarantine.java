package org.tanagermoor.gateway.quarantine;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.dispatch.PlaceOutcome;
import org.tanagermoor.gateway.dispatch.Trial;
import org.tanagermoor.gateway.duty.Duties;
import org.tanagermoor.gateway.proto.QuarantinedPart;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.policy.prompt.Prompt;
import org.tanagermoor.policy.quarantine.Quarantine;
import org.tanagermoor.policy.quarantine.QuarantineDecision;
import org.tanagermoor.policy.quarantine.QuarantineEntry;
import org.tanagermoor.store.table.TableService;

/**
 * The parts of prompts that the fleet holds back, as this instance knows them. What the dispatcher decides is sent to
 * all instances at once, passed on with heartbeats, and kept in the store, so that it outlives the dispatcher. Confined
 * to the event loop.
 */
public final class PartQuarantine {

    private final Quarantine quarantine;

    private final QuarantineTable table;

    private final EventLog events;

    private final TimeSource time;

    /** Sends what this instance knows to all others. */
    private Runnable broadcast = () -> {};

    private PartQuarantine(
            Quarantine quarantine,
            TableService tables,
            EventLoop loop,
            Duties duties,
            EventLog events,
            TimeSource time) {
        this.quarantine = quarantine;
        this.events = events;
        this.time = time;
        table = new QuarantineTable(tables, loop, duties, events, time, entry -> merge(entry, "store"));
    }

    /**
     * Returns the quarantine of an instance that has learnt of no part yet.
     *
     * @param quarantine The records, shared with the dispatcher of this instance.
     * @param tables The store.
     * @param loop The event loop.
     * @param duties Runs the calls of the store so that an error does not end their repetition.
     * @param events The log.
     * @param time The source of the current time.
     */
    public static PartQuarantine of(
            Quarantine quarantine,
            TableService tables,
            EventLoop loop,
            Duties duties,
            EventLog events,
            TimeSource time) {
        return new PartQuarantine(quarantine, tables, loop, duties, events, time);
    }

    /** Reads the records from the store, and from now on sends new ones to the other instances. */
    public void start(Runnable sendToAll) {
        broadcast = sendToAll;
        table.read();
    }

    /**
     * Returns why a request must not be sent to any target now; empty if the dispatcher may decide on it.
     *
     * @param prompt The parts of its prompt.
     * @param now The current monotonic time in nanoseconds.
     */
    public Optional<QuarantineDecision.Refused> refusal(Prompt prompt, long now) {
        return switch (quarantine.decide(prompt, now)) {
            case QuarantineDecision.Refused refused -> Optional.of(refused);
            case QuarantineDecision.TrialDue due -> Optional.empty();
            case QuarantineDecision.Admitted admitted -> Optional.empty();
        };
    }

    /**
     * Returns what is known of a part of a prompt that is held back; empty if none is.
     *
     * @param prompt The parts of the prompt.
     */
    public Optional<QuarantineEntry> heldBy(Prompt prompt) {
        return quarantine.heldBy(prompt);
    }

    /** Publishes a new record, which the dispatcher of this instance or an operator has made. */
    public void publish(QuarantineEntry entry) {
        record(entry, "decision");
        table.put(entry);
        broadcast.run();
    }

    /** Logs the beginning or the end of a trial, which the dispatcher of this instance has granted. */
    public void record(Trial trial) {
        events.record(
                trial.outcome().isEmpty() ? GatewayEvent.TRIAL_STARTED : GatewayEvent.TRIAL_ENDED,
                "part",
                String.join(",", trial.parts()),
                "holder",
                trial.holder(),
                "permit",
                trial.permit(),
                "target",
                trial.target(),
                "outcome",
                trial.outcome().map(PlaceOutcome::name).orElse(""),
                "took-ms",
                TimeUnit.NANOSECONDS.toMillis(trial.nanos()));
    }

    /**
     * Releases a part at the request of an operator.
     *
     * @param part The identity of the part.
     * @return Whether it was held back.
     */
    public boolean release(String part) {
        Optional<QuarantineEntry> released = quarantine.release(part, "released by an operator", time.nanos());
        released.ifPresent(this::publish);
        return released.isPresent();
    }

    /** Returns the parts that are held back. */
    public List<QuarantineEntry> held() {
        return quarantine.entries().stream().filter(QuarantineEntry::held).toList();
    }

    /** Returns all records as messages to other instances. */
    public List<QuarantinedPart> messages() {
        long now = time.nanos();
        return quarantine.entries().stream()
                .map(entry -> QuarantineCodec.toMessage(entry, now))
                .toList();
    }

    /** Adopts the records of another instance that are newer than the own ones. */
    public void merge(Collection<QuarantinedPart> messages) {
        long now = time.nanos();
        messages.forEach(message -> merge(QuarantineCodec.fromMessage(message, 0, now), "peer"));
    }

    /**
     * Forgets the parts whose records have aged.
     *
     * @param dispatching Whether this instance is the dispatcher, which removes them from the store.
     * @param now The current monotonic time in nanoseconds.
     */
    public void tick(boolean dispatching, long now) {
        quarantine.expire(now).forEach(part -> {
            events.record(GatewayEvent.PART_FORGOTTEN, "part", part);
            if (dispatching) {
                table.remove(part);
            }
        });
    }

    private void merge(QuarantineEntry entry, String source) {
        if (quarantine.merge(entry, time.nanos())) {
            record(entry, source);
        }
    }

    private void record(QuarantineEntry entry, String source) {
        GatewayEvent event = !entry.held()
                ? GatewayEvent.PART_RELEASED
                : entry.trials() == 0 ? GatewayEvent.PART_QUARANTINED : GatewayEvent.PART_TRIED;
        events.record(
                event,
                "part",
                entry.part(),
                "source",
                source,
                "revision",
                entry.revision(),
                "trials",
                entry.trials(),
                "next-ms",
                TimeUnit.NANOSECONDS.toMillis(entry.until() - time.nanos()),
                "evidence",
                entry.evidence());
    }
}
