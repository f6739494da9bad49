package org.tanagermoor.gateway;

import java.lang.System.Logger.Level;
import org.tanagermoor.kernel.event.EventType;

/** The events of the gateway. */
public enum GatewayEvent implements EventType {

    /** The store failed to answer a call about a followed table. */
    STORE_LOST(2201, Level.WARNING, "the control store does not answer"),

    /** The store answers again. */
    STORE_REGAINED(2202, Level.INFO, "the control store answers again"),

    /** The store dropped the changes since the revision that was followed. */
    HISTORY_LOST(2203, Level.INFO, "the history of a table was dropped, and the table is read anew"),

    /** A copy of a table was taken over from a peer. */
    TABLE_RELAYED(2204, Level.INFO, "a table was taken over from a peer"),

    /** A configuration was adopted. */
    CONFIGURATION_ADOPTED(2205, Level.INFO, "a configuration was adopted"),

    /** A row of a followed table cannot be read; it is left out. */
    ROW_UNREADABLE(2206, Level.WARNING, "a row cannot be read and is left out"),

    /** A target was added, changed or removed. */
    TARGET_CHANGED(2207, Level.INFO, "a target changed"),

    /** A failure domain was taken out or given back. */
    DOMAIN_CHANGED(2208, Level.INFO, "a failure domain was taken out or given back"),

    /** An instance was seen or lost. */
    MEMBER_CHANGED(2209, Level.INFO, "an instance was seen or lost"),

    /** The dispatcher that this instance asks changed. */
    DISPATCHER_CHANGED(2210, Level.INFO, "the dispatcher changed"),

    /** The dispatcher does not answer; requests are placed locally for a while. */
    DISPATCHER_SILENT(2211, Level.WARNING, "the dispatcher does not answer"),

    /** A request was refused. */
    REQUEST_REFUSED(2212, Level.INFO, "a request was refused"),

    /** A request was sent to a target. */
    REQUEST_PLACED(2213, Level.INFO, "a request was sent to a target"),

    /** An exchange with a target failed. */
    EXCHANGE_FAILED(2214, Level.INFO, "an exchange with a target failed"),

    /** A request was answered. */
    REQUEST_ANSWERED(2215, Level.INFO, "a request was answered"),

    /** A caller left before its answer was whole. */
    CALLER_LEFT(2216, Level.INFO, "a caller left before its answer was whole"),

    /** A job was accepted. */
    JOB_ACCEPTED(2217, Level.INFO, "a job was accepted"),

    /** A job was refused. */
    JOB_REFUSED(2218, Level.INFO, "a job was refused"),

    /** A job was taken over from an instance that is gone. */
    JOB_TAKEN_OVER(2219, Level.INFO, "a job was taken over"),

    /** Results of a job were recorded. */
    RESULTS_RECORDED(2220, Level.INFO, "results were recorded"),

    /** A job ended. */
    JOB_ENDED(2221, Level.INFO, "a job ended"),

    /** A write of a job failed and is tried again. */
    JOB_WRITE_FAILED(2222, Level.WARNING, "a write of a job failed"),

    /** An item was given up. */
    ITEM_ABANDONED(2223, Level.INFO, "an item was given up"),

    /** A planned stop began. */
    LEAVING(2224, Level.INFO, "this instance leaves"),

    /** A message to a peer failed. */
    PEER_FAILED(2225, Level.DEBUG, "a message to a peer failed"),

    /** An exchange with a caller met a defect. */
    CALLER_DEFECT(2226, Level.WARNING, "an exchange with a caller met a defect"),

    /** A job was given up by an instance that leaves. */
    JOB_HANDED_OVER(2227, Level.INFO, "a job was handed over"),

    /** A run of an item ended, with or without a result. */
    ITEM_RUN_ENDED(2228, Level.INFO, "a run of an item ended"),

    /** An item has a result; the line says how it spent its time at this owner. */
    ITEM_ENDED(2229, Level.INFO, "an item ended"),

    /** The items, results and progress of a job that was taken over were read. */
    JOB_RESUMED(2230, Level.INFO, "a job that was taken over goes on"),

    /** All that was kept of a job was deleted, after the time for which it could be read. */
    JOB_DELETED(2231, Level.INFO, "a job past its retention was deleted");

    /** What the catalogue says. */
    private final Entry entry;

    /** Creates an event type. */
    GatewayEvent(int number, Level level, String text) {
        entry = new Entry(number, level, text);
    }

    /** {@inheritDoc} */
    @Override
    public Entry entry() {
        return entry;
    }
}
