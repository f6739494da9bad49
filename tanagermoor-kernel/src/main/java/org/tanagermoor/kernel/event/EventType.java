package org.tanagermoor.kernel.event;

import com.google.errorprone.annotations.Immutable;
import java.lang.System.Logger.Level;

/**
 * A type of event. Each module declares its types in an enum that implements this interface; {@code docs/EVENTS.md}
 * is the catalogue of all types.
 */
public interface EventType {

    /**
     * Returns the name of the enum constant, which is written to logs.
     */
    String name();

    /**
     * Returns the number, level and text of this type.
     */
    Entry entry();

    /** Returns the unique number, which is never reused for another type. */
    default int number() {
        return entry().number();
    }

    /** Returns the level at which the event is logged. */
    default Level level() {
        return entry().level();
    }

    /** Returns a short phrase that describes what happened. */
    default String text() {
        return entry().text();
    }

    /** Returns the code that is written to logs, for example {@code TM-1301}. */
    default String code() {
        return "TM-" + number();
    }

    /**
     * The number, level and text of a type, as in the catalogue.
     *
     * @param number The unique number, which is never reused for another type.
     * @param level The level at which the event is logged.
     * @param text A short phrase that describes what happened.
     */
    @Immutable
    record Entry(int number, Level level, String text) {}
}
