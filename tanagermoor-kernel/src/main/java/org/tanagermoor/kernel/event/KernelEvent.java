package org.tanagermoor.kernel.event;

import java.lang.System.Logger.Level;

/** The types of events that the kernel records: about duties, plug-ins, settings and the process itself. */
public enum KernelEvent implements EventType {

    /** The work of a duty threw an exception; the duty continues. */
    DUTY_DEFECT(1001, Level.ERROR, "a duty met a defect and went on"),

    /** The start of a plug-in succeeded. */
    PLUGIN_STARTED(1002, Level.DEBUG, "a plug-in was started"),

    /** A plug-in was stopped, or failed to stop. */
    PLUGIN_STOPPED(1003, Level.DEBUG, "a plug-in was stopped"),

    /** All plug-ins are started. */
    READY(1004, Level.INFO, "the process is ready"),

    /** The kernel begins to stop the plug-ins. */
    STOPPING(1005, Level.INFO, "a planned stop began"),

    /** All plug-ins are stopped. */
    STOPPED(1006, Level.INFO, "a planned stop ended"),

    /** A plug-in threw an exception while it was draining or stopping; the other plug-ins are still stopped. */
    STOP_FAILED(1007, Level.ERROR, "a plug-in failed to stop"),

    /** The settings file was read again after a hangup signal, with or without success. */
    SETTINGS_REREAD(1008, Level.INFO, "the file with settings was read again");

    private final Entry entry;

    KernelEvent(int number, Level level, String text) {
        entry = new Entry(number, level, text);
    }

    /** {@inheritDoc} */
    @Override
    public Entry entry() {
        return entry;
    }
}
