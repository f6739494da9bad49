package org.tanagermoor.budget;

import java.lang.System.Logger.Level;
import org.tanagermoor.kernel.event.EventType;

/** The events that are logged about shared budgets. */
public enum BudgetEvent implements EventType {

    /** The plug-in has started to share budgets. */
    STARTED(1501, Level.INFO, "the budgets are shared"),

    /** A request was refused because a budget is used up. */
    REFUSED(1502, Level.DEBUG, "a budget is used up"),

    /** A request was refused because no steward lent a share in time. */
    NO_SHARE(1503, Level.WARNING, "no steward lent a share in time"),

    /** This instance began to lend shares as a steward. */
    STEWARD_BEGAN(1504, Level.INFO, "this instance lends from the budgets of a view"),

    /** A message from another instance could not be parsed. */
    MESSAGE_INVALID(1505, Level.ERROR, "a budget message could not be read"),

    /** A message was dropped because the queue of the duty is full. */
    MESSAGE_DROPPED(1506, Level.WARNING, "a budget message was dropped");

    private final Entry entry;

    BudgetEvent(int number, Level level, String text) {
        entry = new Entry(number, level, text);
    }

    /** {@inheritDoc} */
    @Override
    public Entry entry() {
        return entry;
    }
}
