package org.tanagermoor.batch;

import java.lang.System.Logger.Level;
import org.tanagermoor.kernel.event.EventType;

/** The events of batch jobs that the event log records. */
public enum BatchEvent implements EventType {

    /** A job was stored durably, so that it will run. */
    JOB_ACCEPTED(1801, Level.INFO, "a job was accepted"),

    /** An instance started to act as steward of a job. */
    JOB_TAKEN_OVER(1802, Level.INFO, "a job was taken over"),

    /** An instance that is no longer the steward of a job stopped acting as its steward. */
    JOB_RELEASED(1803, Level.INFO, "a job was released"),

    /** Every item of a job has a recorded outcome. */
    JOB_DONE(1804, Level.INFO, "a job is done"),

    /** The steward of a job handles its cancellation: no more items start. */
    JOB_CANCELLED(1805, Level.INFO, "a job was cancelled"),

    /** The lease of a chunk expired, so that its items are lent again. */
    LEASE_LAPSED(1806, Level.WARNING, "the lease of a chunk lapsed"),

    /** A target or worker was lost while it ran items. */
    ITEMS_LOST(1807, Level.WARNING, "a target or worker was lost under items"),

    /** An item was abandoned: it counts as failed and is not run again. */
    ITEM_GIVEN_UP(1808, Level.WARNING, "an item was given up"),

    /** The store did not record progress; the write is retried. */
    RECORDING_DELAYED(1809, Level.WARNING, "progress could not be recorded for now"),

    /** A write was refused because another steward has taken the job over. */
    EPOCH_REFUSED(1810, Level.WARNING, "a write of an old epoch was refused"),

    /** The steward refused the report of a worker. */
    REPORT_REFUSED(1811, Level.WARNING, "a report was refused"),

    /** Objects of an upload that was not accepted, or of a job past its retention, were deleted. */
    OBJECTS_SWEPT(1812, Level.INFO, "objects were swept");

    /** Number, level and text of the event in the catalogue of events. */
    private final Entry entry;

    /**
     * Creates an event type.
     *
     * @param number The number, unique among all events.
     * @param level The level at which the event is logged.
     * @param text The text that states what happened.
     */
    BatchEvent(int number, Level level, String text) {
        entry = new Entry(number, level, text);
    }

    /** {@inheritDoc} */
    @Override
    public Entry entry() {
        return entry;
    }
}
