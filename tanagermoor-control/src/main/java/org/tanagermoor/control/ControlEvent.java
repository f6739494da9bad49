package org.tanagermoor.control;

import java.lang.System.Logger.Level;
import org.tanagermoor.kernel.event.EventType;

/** The types of events about changes that operators make. */
public enum ControlEvent implements EventType {

    /** A change is recorded and accepted, so it is in force. */
    CHANGE_ACCEPTED(1401, Level.INFO, "an operator's change is accepted"),

    /** A change is recorded, but its acceptance was not confirmed in time. */
    CHANGE_RECORDED(1402, Level.WARNING, "an operator's change is recorded and not yet known to be in force"),

    /** A change was invalid, based on another version, or could not be recorded. */
    CHANGE_REFUSED(1403, Level.INFO, "an operator's change was refused");

    private final Entry entry;

    ControlEvent(int number, Level level, String text) {
        entry = new Entry(number, level, text);
    }

    /** {@inheritDoc} */
    @Override
    public Entry entry() {
        return entry;
    }
}
