package org.tanagermoor.standin.cost;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.setting.Setting;
import org.tanagermoor.kernel.setting.Settings;
import reactor.netty.http.client.HttpClient;

/** Reads the metrics of instances twice and prints what each spent in between. */
public final class CostMain {

    /** The instances. */
    private static final Setting<String> INSTANCES =
            Setting.ofText("instances", "the addresses of the instances, as ip:port,ip:port", null);

    /** The operators' key. */
    private static final Setting<String> OPERATOR_KEY = Setting.ofText("operator-key", "the operators' key", null);

    /** The time between the two readings. */
    private static final Setting<Long> SECONDS =
            Setting.ofNumber("seconds", "the time between the two readings, in seconds", "20", 1, 600);

    /** The longest time for one reading. */
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    /** The exit code when a setting is wrong. */
    private static final int EXIT_SETTINGS = 2;

    /** There are no instances. */
    private CostMain() {}

    /**
     * Runs the measurement.
     *
     * @param arguments The flags.
     * @throws InterruptedException If the main thread is interrupted.
     */
    public static void main(String[] arguments) throws InterruptedException {
        Either<List<String>, Settings> settings =
                Settings.parse(List.of(INSTANCES, OPERATOR_KEY, SECONDS), List.of(arguments), Map.of());
        if (settings.isLeft()) {
            settings.getLeft().forEach(System.err::println);
            System.exit(EXIT_SETTINGS);
        }
        String key = settings.get().value(OPERATOR_KEY);
        Map<Address, Sample> before = new LinkedHashMap<>();
        for (String text : settings.get().value(INSTANCES).split(",")) {
            Address instance = Address.parse(text).getOrElseThrow(problem -> new IllegalArgumentException(problem));
            before.put(instance, read(instance, key));
        }
        TimeUnit.SECONDS.sleep(settings.get().value(SECONDS));
        List<Cost> costs = new ArrayList<>();
        before.forEach((instance, sample) -> costs.add(read(instance, key).since(sample)));
        print(costs);
    }

    /**
     * Prints costs.
     *
     * @param costs The costs, one for each instance.
     */
    private static void print(List<Cost> costs) {
        print("instances=" + costs.size() + " mean", Cost.mean(costs));
        print("instances=" + costs.size() + " largest", Cost.largest(costs));
    }

    /**
     * Prints a cost.
     *
     * @param name What it is.
     * @param cost The cost.
     */
    private static void print(String name, Cost cost) {
        System.out.printf(
                Locale.ROOT,
                "%s core=%.3f%% link=%.0fB/s heap=%.1fMB platform-reads=%.2f/s platform-writes=%.3f/s%n",
                name,
                cost.corePercent(),
                cost.linkBytesPerSecond(),
                cost.heapMegabytes(),
                cost.platformReadsPerSecond(),
                cost.platformWritesPerSecond());
    }

    /**
     * Reads the metrics of an instance.
     *
     * @param instance The instance.
     * @param key The operators' key.
     * @return The sample.
     */
    private static Sample read(Address instance, String key) {
        byte[] body = HttpClient.newConnection()
                .remoteAddress(instance::toSocketAddress)
                .headers(headers -> headers.set("authorization", "Bearer " + key))
                .get()
                .uri("/operator/metrics")
                .responseContent()
                .aggregate()
                .asByteArray()
                .block(TIMEOUT);
        try {
            JsonNode metrics = new ObjectMapper().readTree(body);
            return Sample.of(System.nanoTime(), metrics);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
