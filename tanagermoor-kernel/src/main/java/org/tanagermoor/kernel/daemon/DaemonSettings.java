package org.tanagermoor.kernel.daemon;

import io.vavr.control.Either;
import java.lang.System.Logger.Level;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import org.tanagermoor.kernel.setting.Setting;

/** The settings of the daemon itself; each plug-in declares its own settings. */
final class DaemonSettings {

    /** The unique name of this instance; the plug-ins also read it. */
    static final Setting<String> INSTANCE_NAME =
            Setting.ofText("instance-name", "the name of this instance, unique in the fleet", null);

    /** The minimum level of events that are logged. */
    static final Setting<Level> LOG_LEVEL = new Setting<>(
            "log-level",
            "the least level that is logged: debug, info, warning or error",
            "info",
            DaemonSettings::level);

    /** The path of the settings file; empty for none. Flags and environment variables take precedence over it. */
    static final Setting<String> CONFIG = new Setting<>(
            "config",
            "a file with settings, a line 'name = value' each; flags and variables go before it",
            "",
            Either::right);

    /** The names of the plug-ins to run, along with those that they require; empty for all plug-ins. */
    static final Setting<Set<String>> PLUGINS = new Setting<>(
            "plugins",
            "the plug-ins to run, with commas between them; those that they need run too; none for all",
            "",
            DaemonSettings::parseNames);

    /** The format and destination of logged events. */
    static final Setting<LogFormat> LOG_FORMAT = new Setting<>(
            "log-format",
            "text to standard error, or json, an object a line, to standard output",
            "text",
            DaemonSettings::parseFormat);

    /** The levels that an operator can choose. */
    private static final List<Level> LEVELS = List.of(Level.DEBUG, Level.INFO, Level.WARNING, Level.ERROR);

    private DaemonSettings() {}

    static List<Setting<?>> all() {
        return List.of(INSTANCE_NAME, LOG_LEVEL, LOG_FORMAT, CONFIG, PLUGINS);
    }

    /** Parses a comma-separated list of names. */
    private static Either<String, Set<String>> parseNames(String text) {
        return Either.right(Arrays.stream(text.split(","))
                .map(String::strip)
                .filter(name -> !name.isEmpty())
                .collect(Collectors.toUnmodifiableSet()));
    }

    private static Either<String, LogFormat> parseFormat(String text) {
        return switch (text) {
            case "text" -> Either.right(LogFormat.TEXT);
            case "json" -> Either.right(LogFormat.JSON);
            default -> Either.left("must be text or json, but is " + text);
        };
    }

    /** The format of logged events, which also selects the stream to which they are written. */
    enum LogFormat {

        /** Lines for people, written to standard error. */
        TEXT,

        /** JSON objects for machines, one per line, written to standard output. */
        JSON
    }

    /**
     * Parses the name of a level.
     *
     * @param text The name, in upper or lower case.
     * @return The level, or a description of the problem.
     */
    private static Either<String, Level> level(String text) {
        return LEVELS.stream()
                .filter(level -> level.name().equals(text.toUpperCase(Locale.ROOT)))
                .findFirst()
                .<Either<String, Level>>map(Either::right)
                .orElseGet(() -> Either.left("must be one of "
                        + Arrays.toString(LEVELS.toArray()).toLowerCase(Locale.ROOT) + ", but is " + text));
    }
}
