package org.tanagermoor.kernel.daemon;

import java.lang.System.Logger.Level;
import java.util.List;

/** Configures {@code java.util.logging}, to which {@link System.Logger} writes. */
final class Logging {

    /** The property that defines the line format. */
    private static final String FORMAT_PROPERTY = "java.util.logging.SimpleFormatter.format";

    /** A line holds the time, level, message and stack trace. */
    private static final String FORMAT = "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n";

    /**
     * The loggers of libraries whose failures the program already records as events. They are referenced here because
     * {@code java.util.logging} holds loggers weakly: a logger without a reference is collected and loses its level.
     */
    private static final List<java.util.logging.Logger> LIBRARY_LOGGERS = List.of(
            java.util.logging.Logger.getLogger("reactor.netty"), java.util.logging.Logger.getLogger("io.netty"));

    private Logging() {}

    /**
     * Sets the line format and the minimum level. Must be called before anything is logged.
     *
     * @param level The minimum level of lines that are logged.
     */
    static void configure(Level level) {
        System.setProperty(FORMAT_PROPERTY, FORMAT);
        java.util.logging.Level value =
                switch (level) {
                    case ALL -> java.util.logging.Level.ALL;
                    case TRACE -> java.util.logging.Level.FINER;
                    case DEBUG -> java.util.logging.Level.FINE;
                    case INFO -> java.util.logging.Level.INFO;
                    case WARNING -> java.util.logging.Level.WARNING;
                    case ERROR -> java.util.logging.Level.SEVERE;
                    case OFF -> java.util.logging.Level.OFF;
                };
        java.util.logging.Logger root = java.util.logging.Logger.getLogger("");
        for (java.util.logging.Handler handler : root.getHandlers()) {
            handler.setLevel(value);
        }
        java.util.logging.Logger.getLogger("org.tanagermoor").setLevel(value);
        LIBRARY_LOGGERS.forEach(logger -> logger.setLevel(java.util.logging.Level.SEVERE));
    }
}
