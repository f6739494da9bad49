package org.tanagermoor.kernel.setting;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/** The validated values of the settings of a process. */
public final class Settings {

    /** Variables of the command-line tool and of the scripts, which may be set in the same environment. */
    private static final Set<String> TOOL_VARIABLES =
            Set.of("TANAGERMOOR_INSTANCES", "TANAGERMOOR_OPERATOR_KEY", "TANAGERMOOR_KEY", "TANAGERMOOR_JAVA_OPTIONS");

    /** The parsed values by the name of the setting. */
    private final Map<String, Object> values;

    private Settings(Map<String, Object> values) {
        this.values = values;
    }

    /**
     * Reads settings from flags and environment variables, and reports all problems together.
     *
     * @param known The settings that the process knows.
     * @param arguments The flags, as {@code --name value} or {@code --name=value}.
     * @param environment The environment variables; those without {@link Setting#PREFIX} are ignored.
     * @return The settings, or one sentence for each problem.
     */
    public static Either<List<String>, Settings> parse(
            List<Setting<?>> known, List<String> arguments, Map<String, String> environment) {
        return parse(known, arguments, environment, Map.of());
    }

    /**
     * Reads settings from flags, environment variables and a file, in this order of precedence. Unknown names in the
     * file are ignored, since one file may serve several versions of the program.
     *
     * @param known The settings of the process.
     * @param file The values from the file by the name of the setting.
     * @return The settings, or one sentence for each problem.
     */
    public static Either<List<String>, Settings> parse(
            List<Setting<?>> known, List<String> arguments, Map<String, String> environment, Map<String, String> file) {
        List<String> problems = new ArrayList<>();
        Map<String, String> flags = flags(arguments, problems);
        Map<String, Object> values = new HashMap<>();
        for (Setting<?> setting : known) {
            String flag = flags.remove(setting.flag());
            String text = flag != null ? flag : environment.get(setting.variable());
            read(setting, text != null ? text : file.get(setting.name()), values, problems);
        }
        for (String flag : new TreeSet<>(flags.keySet())) {
            problems.add(flag + " is not a known flag");
        }
        reportUnknownVariables(known, environment, problems);
        return problems.isEmpty() ? Either.right(new Settings(values)) : Either.left(List.copyOf(problems));
    }

    /**
     * Returns the parsed value of a setting, which is the default where none was given.
     *
     * @param <T> The type of the value.
     * @param setting One of the settings that were known to the parser.
     * @throws IllegalArgumentException If the setting was not known to the parser.
     */
    @SuppressWarnings("unchecked")
    public <T> T value(Setting<T> setting) {
        Object value = values.get(setting.name());
        if (value == null) {
            throw new IllegalArgumentException("The setting was not read: " + setting.name());
        }
        return (T) value;
    }

    /**
     * Splits arguments into flags and their values.
     *
     * @param problems Receives one sentence for each problem.
     * @return The values by flag.
     */
    private static Map<String, String> flags(List<String> arguments, List<String> problems) {
        Map<String, String> flags = new HashMap<>();
        int index = 0;
        while (index < arguments.size()) {
            String argument = arguments.get(index++);
            int equals = argument.indexOf('=');
            if (!argument.startsWith("--")) {
                problems.add(argument + " is not a flag");
            } else if (equals > 0) {
                put(argument.substring(0, equals), argument.substring(equals + 1), flags, problems);
            } else if (index < arguments.size()) {
                put(argument, arguments.get(index++), flags, problems);
            } else {
                problems.add(argument + " has no value");
            }
        }
        return flags;
    }

    /**
     * Adds a flag, or a problem if it was given before.
     *
     * @param flags The values by flag; receives the value.
     * @param problems Receives one sentence for each problem.
     */
    private static void put(String flag, String value, Map<String, String> flags, List<String> problems) {
        if (flags.putIfAbsent(flag, value) != null) {
            problems.add(flag + " is given more than once");
        }
    }

    /**
     * Parses the text of one setting or its default.
     *
     * @param given The given text, or {@code null} to use the default.
     * @param values Receives the value.
     * @param problems Receives one sentence for each problem.
     */
    private static void read(
            Setting<?> setting, @Nullable String given, Map<String, Object> values, List<String> problems) {
        String text = given != null ? given : setting.fallback();
        String name = setting.flag() + " (" + setting.variable() + ")";
        if (text == null) {
            problems.add(name + " must be given: " + setting.description());
            return;
        }
        setting.parser()
                .apply(text)
                .peek(value -> values.put(setting.name(), value))
                .peekLeft(problem -> problems.add(name + " " + problem));
    }

    /**
     * Reports environment variables that have the prefix but belong to no setting.
     *
     * @param known The settings that the process knows.
     * @param problems Receives one sentence for each problem.
     */
    private static void reportUnknownVariables(
            List<Setting<?>> known, Map<String, String> environment, List<String> problems) {
        for (String variable : new TreeSet<>(environment.keySet())) {
            if (variable.startsWith(Setting.PREFIX)
                    && !TOOL_VARIABLES.contains(variable)
                    && known.stream().noneMatch(setting -> setting.variable().equals(variable))) {
                problems.add(variable + " is not a known environment variable");
            }
        }
    }
}
