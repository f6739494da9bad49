package org.tanagermoor.kernel.setting;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Locale;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * A setting that a flag or an environment variable provides; the flag takes precedence.
 *
 * @param <T> The type of the value.
 * @param name The name, for example {@code peer-address}.
 * @param description A phrase for the help text, with the unit.
 * @param fallback The default as text, or {@code null} if the setting is required.
 * @param parser Parses the text; the left side describes why the text is invalid.
 */
public record Setting<T>(
        String name, String description, @Nullable String fallback, Function<String, Either<String, T>> parser) {

    /** The prefix of the environment variables of all settings. */
    public static final String PREFIX = "TANAGERMOOR_";

    /**
     * Returns a setting whose value is a text that is not blank.
     *
     * @param name The name, in lower case with dashes.
     * @param description A phrase for the help text.
     * @param fallback The default as text, or {@code null} if the setting is required.
     */
    public static Setting<String> ofText(String name, String description, @Nullable String fallback) {
        return new Setting<>(
                name, description, fallback, text -> text.isBlank() ? Either.left("is empty") : Either.right(text));
    }

    /**
     * Returns a setting whose value is an integer within bounds.
     *
     * @param name The name, in lower case with dashes.
     * @param description A phrase for the help text, with the unit.
     * @param fallback The default as text, or {@code null} if the setting is required.
     * @param min The minimum value.
     * @param max The maximum value.
     */
    public static Setting<Long> ofNumber(
            String name, String description, @Nullable String fallback, long min, long max) {
        return new Setting<>(name, description, fallback, text -> {
            try {
                long value = Long.parseLong(text);
                return value < min || value > max
                        ? Either.left("must be from " + min + " to " + max + ", but is " + text)
                        : Either.right(value);
            } catch (NumberFormatException exception) {
                return Either.left("is not a whole number: " + text);
            }
        });
    }

    /**
     * Returns a setting whose value is a duration, given in milliseconds.
     *
     * @param name The name, in lower case with dashes.
     * @param description A phrase for the help text.
     * @param fallback The default as text, or {@code null} if the setting is required.
     * @param minMillis The minimum value, in milliseconds.
     * @param maxMillis The maximum value, in milliseconds.
     */
    public static Setting<Duration> ofMillis(
            String name, String description, @Nullable String fallback, long minMillis, long maxMillis) {
        Setting<Long> number = ofNumber(name, description, fallback, minMillis, maxMillis);
        return new Setting<>(
                name, description, fallback, text -> number.parser().apply(text).map(Duration::ofMillis));
    }

    /**
     * Returns a setting whose value is an address of the form {@code ip:port}.
     *
     * @param name The name, in lower case with dashes.
     * @param description A phrase for the help text.
     * @param fallback The default as text, or {@code null} if the setting is required.
     */
    public static Setting<Address> ofAddress(String name, String description, @Nullable String fallback) {
        return new Setting<>(name, description, fallback, Address::parse);
    }

    /**
     * Returns the flag of this setting, for example {@code --peer-address}.
     */
    public String flag() {
        return "--" + name;
    }

    /**
     * Returns the environment variable of this setting, for example {@code TANAGERMOOR_PEER_ADDRESS}.
     */
    public String variable() {
        return PREFIX + name.toUpperCase(Locale.ROOT).replace('-', '_');
    }
}
