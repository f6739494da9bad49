package org.tanagermoor.target;

import java.lang.System.Logger.Level;
import org.tanagermoor.kernel.event.EventType;

/** The events that are logged about targets, their permits, and the orders to model engines. */
public enum TargetEvent implements EventType {

    /** The plug-in has started to lease targets. */
    STARTED(1601, Level.INFO, "the targets are shared"),

    /** A target reported another start mark than before, so it was restarted. */
    RESTARTED(1602, Level.WARNING, "a target started anew"),

    /** A target could not be reached or reset a connection. */
    RESET(1603, Level.INFO, "a target reset a connection"),

    /** This instance, as a steward, recalled permits for the online requests of other instances. */
    PERMITS_RECALLED(1604, Level.INFO, "permits were recalled"),

    /** A request waited for a permit until its deadline could no longer be met. */
    OVERLOADED(1605, Level.DEBUG, "a request could not make its deadline"),

    /** The steward of a target considers it cold and lends fewer permits of it. */
    COLD(1606, Level.WARNING, "a target is held for cold"),

    /** A message from another instance could not be parsed. */
    MESSAGE_INVALID(1607, Level.ERROR, "a target message could not be read"),

    /** A target returned no usable report of its load. */
    LOAD_UNKNOWN(1608, Level.DEBUG, "a report of load could not be had"),

    /** A steward sends an order to a model engine. */
    ORDER_SENT(1609, Level.INFO, "an order is sent to an engine"),

    /** An engine refused the fencing number of an order. */
    ORDER_REFUSED(1610, Level.WARNING, "an engine refused the fencing number of an order"),

    /** An order was not sent, or its result is unknown. */
    ORDER_UNANSWERED(1611, Level.WARNING, "an order was not answered"),

    /** A model engine returned no usable report of its state. */
    ENGINE_UNKNOWN(1612, Level.DEBUG, "a report of an engine could not be had"),

    /** The steward lends no permits of a target while its engine is reloaded. */
    WITHHELD(1613, Level.INFO, "a target gets no permits while it is reloaded"),

    /** The steward lends permits of a target again. */
    LENT_AGAIN(1614, Level.INFO, "a target gets permits again"),

    /** An engine has reached the state that the preset in force wants. */
    ENGINE_SETTLED(1615, Level.INFO, "an engine has what the preset in force wants");

    private final Entry entry;

    TargetEvent(int number, Level level, String text) {
        entry = new Entry(number, level, text);
    }

    /** {@inheritDoc} */
    @Override
    public Entry entry() {
        return entry;
    }
}
