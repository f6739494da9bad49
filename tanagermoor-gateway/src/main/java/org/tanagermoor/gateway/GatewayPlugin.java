package org.tanagermoor.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.plugin.Plugin;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.setting.Setting;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.wire.WirePlugin;

/** The plug-in that serves a fleet whose configuration and targets are kept by an external control store. */
public final class GatewayPlugin implements Plugin {

    /** The name under which other plug-ins require this one. */
    public static final String NAME = "gateway";

    /** The name of the plug-in that gives access to the control store. */
    public static final String STORE_PLUGIN = "control-store";

    /** The address on which this instance listens for requests of callers. */
    public static final Setting<Address> CALLER_ADDRESS =
            Setting.ofAddress("caller-address", "the address for callers, as ip:port", "127.0.0.1:8080");

    /** The address for readiness checks. */
    public static final Setting<Address> READY_ADDRESS =
            Setting.ofAddress("ready-address", "the address for checks of readiness, as ip:port", "127.0.0.1:8081");

    /** The address on which this instance names the instances that callers may use. */
    public static final Setting<Address> DIRECTORY_ADDRESS =
            Setting.ofAddress("directory-address", "the address of the directory, as ip:port", "127.0.0.1:8082");

    /** The maximum grace in seconds; a longer one is rejected as a mistake. */
    private static final double MAX_GRACE_SECONDS = 3_600;

    /** The maximum retention in seconds, a year; a longer one is rejected as a mistake. */
    private static final double MAX_RETENTION_SECONDS = 366 * 86_400.0;

    /** The failure domain of this instance. It must be given. */
    public static final Setting<String> FAILURE_DOMAIN =
            Setting.ofText("failure-domain", "the failure domain of this instance", null);

    /** The address on which the metrics are served. */
    public static final Setting<Address> METRICS_ADDRESS =
            Setting.ofAddress("metrics-address", "the address of the metrics, as ip:port", "127.0.0.1:9464");

    /** The addresses of other instances that may run; they are the first to be contacted. */
    public static final Setting<List<Address>> SEEDS = new Setting<>(
            "seeds", "addresses of other instances, as ip:port with commas between them", "", GatewayPlugin::addresses);

    /** The time after which a process that was told to stop is killed. */
    public static final Setting<Duration> STOP_GRACE = new Setting<>(
            "stop-grace-seconds",
            "the time after which a process that was told to stop is killed; it serves on for most of it",
            "8",
            text -> seconds(text, MAX_GRACE_SECONDS));

    /** How long a job that has ended can be read, counted from its acceptance. */
    public static final Setting<Duration> JOB_RETENTION = new Setting<>(
            "job-retention-seconds",
            "the time after its acceptance for which a job that has ended can be read, in seconds; then it is deleted",
            "120",
            text -> seconds(text, MAX_RETENTION_SECONDS));

    /** The share of the machine's processors that this instance may use, in cores. */
    public static final Setting<Double> PROCESSOR_SHARE = new Setting<>(
            "processor-share",
            "the processor share of this instance in cores; factors may be joined by *",
            "1",
            GatewayPlugin::product);

    private static final double MILLIS_PER_SECOND = 1_000;

    /** The interval at which a planned stop checks whether it is complete, in nanoseconds. */
    private static final long STOP_POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** {@code null} before the start. */
    @Nullable
    private Gateway gateway;

    /** {@code null} before the start. */
    @Nullable
    private MetricsListener metrics;

    /** {@code null} before the start. */
    @Nullable
    private EventLoop loop;

    /** The schedule of a planned stop; {@code null} before the start. */
    @Nullable
    private StopSchedule schedule;

    /** The source of the current time; {@code null} before the start. */
    @Nullable
    private TimeSource time;

    /** {@inheritDoc} */
    @Override
    public String name() {
        return NAME;
    }

    /** {@inheritDoc} */
    @Override
    public Set<String> requires() {
        return Set.of(WirePlugin.NAME, STORE_PLUGIN);
    }

    /** {@inheritDoc} */
    @Override
    public List<Setting<?>> settings() {
        return List.of(
                CALLER_ADDRESS,
                READY_ADDRESS,
                DIRECTORY_ADDRESS,
                METRICS_ADDRESS,
                FAILURE_DOMAIN,
                SEEDS,
                STOP_GRACE,
                JOB_RETENTION,
                PROCESSOR_SHARE);
    }

    /** {@inheritDoc} */
    @Override
    public void start(Context context) {
        EventLoopGroup group = context.service(EventLoopGroup.class);
        EventLoop chosen = group.next();
        loop = chosen;
        schedule = StopSchedule.of(context.settings().value(STOP_GRACE));
        time = context.time();
        Gateway started = Gateway.of(context, chosen);
        gateway = started;
        metrics = MetricsListener.of(
                group,
                context.settings().value(METRICS_ADDRESS),
                context.metrics(),
                chosen,
                started.quarantine(),
                started::rolloutsText);
        started.start(
                group,
                List.of(
                        context.settings().value(CALLER_ADDRESS),
                        context.settings().value(READY_ADDRESS),
                        context.settings().value(DIRECTORY_ADDRESS)));
    }

    /** {@inheritDoc} */
    @Override
    public void drain() {
        Gateway stopping = gateway;
        EventLoop eventLoop = loop;
        StopSchedule stops = schedule;
        TimeSource clock = time;
        if (stopping == null || eventLoop == null || stops == null || clock == null) {
            return;
        }
        long startedAt = clock.nanos();
        eventLoop.execute(() -> stopping.leave(startedAt + stops.answersUntil().toNanos()));
        eventLoop.schedule(stopping::handOver, stops.handsOverAfter().toNanos(), TimeUnit.NANOSECONDS);
        eventLoop.schedule(stopping::closeToCallers, stops.acceptsFor().toNanos(), TimeUnit.NANOSECONDS);
        while (!stopping.drained() && !stops.over(clock.nanos() - startedAt)) {
            LockSupport.parkNanos(STOP_POLL_INTERVAL_NANOS);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void stop() {
        if (gateway != null) {
            gateway.close();
        }
        if (metrics != null) {
            metrics.close();
        }
    }

    /** Parses a time in seconds. */
    private static Either<String, Duration> seconds(String text, double max) {
        try {
            double value = Double.parseDouble(text);
            return value >= 0 && value <= max
                    ? Either.right(Duration.ofMillis((long) (value * MILLIS_PER_SECOND)))
                    : Either.left("must be from 0 to " + max + ", but is " + text);
        } catch (NumberFormatException exception) {
            return Either.left("is not a number: " + text);
        }
    }

    /** Parses a product of positive numbers. */
    private static Either<String, Double> product(String text) {
        double result = 1;
        for (String factor : text.split("\\*", -1)) {
            try {
                result *= Double.parseDouble(factor.strip());
            } catch (NumberFormatException exception) {
                return Either.left("is not a product of numbers: " + text);
            }
        }
        return result > 0 && Double.isFinite(result)
                ? Either.right(result)
                : Either.left("must be above 0, but is " + text);
    }

    /** Parses addresses with commas between them. */
    private static Either<String, List<Address>> addresses(String text) {
        List<Address> result = new ArrayList<>();
        for (String part : text.split(",")) {
            if (part.isBlank()) {
                continue;
            }
            Either<String, Address> address = Address.parse(part.strip());
            if (address.isLeft()) {
                return Either.left(address.getLeft());
            }
            result.add(address.get());
        }
        return Either.right(List.copyOf(result));
    }
}
