package org.tanagermoor.standin.target;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.setting.Setting;
import org.tanagermoor.kernel.setting.Settings;

/**
 * The options of a stand-in target.
 *
 * @param address The address to listen at.
 * @param model The model that it has loaded.
 * @param capacity The requests that run at once; as many again may wait.
 * @param coldCapacity The requests that it bears at once right after a start.
 * @param warmUp The time from a start until it bears its capacity.
 * @param tokenInterval The time between two tokens.
 * @param firstToken The time to the first token, and the time that a plain service takes.
 * @param checksFencing Whether it refuses an order with an old fencing number.
 * @param loadLag The age of the load that it reports.
 * @param load The time from an order that loads a model, or from a restart, until requests are served.
 * @param seed The seed of the start marks and of the gaps in the cache events.
 * @param caller The start of the identities of the exchanges of the only caller; empty if anybody may call.
 */
public record TargetOptions(
        Address address,
        String model,
        int capacity,
        int coldCapacity,
        Duration warmUp,
        Duration tokenInterval,
        Duration firstToken,
        boolean checksFencing,
        Duration loadLag,
        Duration load,
        long seed,
        String caller) {

    /** The largest capacity. */
    private static final long CAPACITY_MOST = 1_000_000;

    /** The longest time of an option in milliseconds. */
    private static final long MILLIS_MOST = 3_600_000;

    /** The address to listen at. */
    private static final Setting<Address> ADDRESS =
            Setting.ofAddress("address", "the address to listen at, as ip:port", "127.0.0.1:0");

    /** The model that is loaded. */
    private static final Setting<String> MODEL = Setting.ofText("model", "the model that is loaded", "assistant");

    /** The capacity. */
    private static final Setting<Long> CAPACITY =
            Setting.ofNumber("capacity", "the requests that run at once", "32", 1, CAPACITY_MOST);

    /** The capacity right after a start. */
    private static final Setting<Long> COLD_CAPACITY = Setting.ofNumber(
            "cold-capacity", "the requests that are borne at once right after a start", "4", 1, CAPACITY_MOST);

    /** The time until the target is warm. */
    private static final Setting<Duration> WARM_UP =
            Setting.ofMillis("warm-up-millis", "the time from a start until it is warm", "0", 0, MILLIS_MOST);

    /** The time between two tokens. */
    private static final Setting<Duration> TOKEN =
            Setting.ofMillis("token-millis", "the time between two tokens", "0", 0, MILLIS_MOST);

    /** The time to the first token. */
    private static final Setting<Duration> FIRST_TOKEN =
            Setting.ofMillis("first-token-millis", "the time to the first token", "0", 0, MILLIS_MOST);

    /** Whether fencing numbers are checked. */
    private static final Setting<Boolean> CHECKS_FENCING = new Setting<>(
            "checks-fencing", "whether old fencing numbers are refused, true or false", "true", TargetOptions::flag);

    /** The age of the load reports. */
    private static final Setting<Duration> LOAD_LAG =
            Setting.ofMillis("load-lag-millis", "the age of the load that is reported", "0", 0, MILLIS_MOST);

    /** The time that a load takes. */
    private static final Setting<Duration> LOAD =
            Setting.ofMillis("load-millis", "the time that loading a model takes", "0", 0, MILLIS_MOST);

    /** The seed. */
    private static final Setting<Long> SEED =
            Setting.ofNumber("seed", "the seed of all that is chosen at random", "1", 0, Long.MAX_VALUE);

    /** The only caller. */
    private static final Setting<String> CALLER = new Setting<>(
            "caller",
            "the start of the identities of the only caller's exchanges, empty if anybody may call",
            "",
            Either::right);

    /**
     * Reads options.
     *
     * @param arguments The flags.
     * @param environment The environment variables.
     * @return The options, or a sentence for each thing that is wrong.
     */
    public static Either<List<String>, TargetOptions> parse(List<String> arguments, Map<String, String> environment) {
        List<Setting<?>> known = List.of(
                ADDRESS,
                MODEL,
                CAPACITY,
                COLD_CAPACITY,
                WARM_UP,
                TOKEN,
                FIRST_TOKEN,
                CHECKS_FENCING,
                LOAD_LAG,
                LOAD,
                SEED,
                CALLER);
        return Settings.parse(known, arguments, environment).map(TargetOptions::of);
    }

    /**
     * Returns the options that settings hold.
     *
     * @param settings The settings.
     * @return The options.
     */
    private static TargetOptions of(Settings settings) {
        return new TargetOptions(
                settings.value(ADDRESS),
                settings.value(MODEL),
                settings.value(CAPACITY).intValue(),
                settings.value(COLD_CAPACITY).intValue(),
                settings.value(WARM_UP),
                settings.value(TOKEN),
                settings.value(FIRST_TOKEN),
                settings.value(CHECKS_FENCING),
                settings.value(LOAD_LAG),
                settings.value(LOAD),
                settings.value(SEED),
                settings.value(CALLER));
    }

    /**
     * Reads a flag.
     *
     * @param text The text.
     * @return The flag, or what is wrong with the text.
     */
    private static Either<String, Boolean> flag(String text) {
        return switch (text) {
            case "true" -> Either.right(true);
            case "false" -> Either.right(false);
            default -> Either.left("is neither true nor false: " + text);
        };
    }
}
