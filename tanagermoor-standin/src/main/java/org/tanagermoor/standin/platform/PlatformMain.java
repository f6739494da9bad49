package org.tanagermoor.standin.platform;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.setting.Setting;
import org.tanagermoor.kernel.setting.Settings;
import org.tanagermoor.kernel.time.TimeSource;

/** Runs the stand-in for the platform until the process is ended. */
public final class PlatformMain {

    /** The address on which to listen. */
    private static final Setting<Address> ADDRESS =
            Setting.ofAddress("address", "the address on which to listen, as ip:port", "127.0.0.1:0");

    /** The writes allowed in a second. */
    private static final Setting<Long> WRITES = Setting.ofNumber(
            "writes-per-second", "the writes allowed in a second, 0 for no limit", "300", 0, 1_000_000);

    /** The reads allowed in a second. */
    private static final Setting<Long> READS =
            Setting.ofNumber("reads-per-second", "the reads allowed in a second, 0 for no limit", "2000", 0, 1_000_000);

    /** The lag of the list of instances. */
    private static final Setting<Duration> LIST_LAG = Setting.ofMillis(
            "list-lag-millis", "the time after which a change shows in the list, in milliseconds", "2000", 0, 600_000);

    /** The exit status for wrong settings. */
    private static final int WRONG_SETTINGS = 2;

    /** There are no instances. */
    private PlatformMain() {}

    /**
     * Runs the stand-in.
     *
     * @param arguments The flags.
     */
    public static void main(String[] arguments) {
        Either<List<String>, Settings> settings =
                Settings.parse(List.of(ADDRESS, WRITES, READS, LIST_LAG), List.of(arguments), Map.of());
        if (settings.isLeft()) {
            settings.getLeft().forEach(System.err::println);
            System.exit(WRONG_SETTINGS);
        }
        run(settings.get());
    }

    /**
     * Runs the stand-in.
     *
     * @param settings The settings.
     */
    private static void run(Settings settings) {
        Limits limits = new Limits(settings.value(READS), settings.value(WRITES), settings.value(LIST_LAG));
        try (PlatformServer server =
                PlatformServer.start(settings.value(ADDRESS), limits, TimeSource.ForSystem.INSTANCE)) {
            System.out.println("ready " + server.address());
            server.await();
        }
    }
}
