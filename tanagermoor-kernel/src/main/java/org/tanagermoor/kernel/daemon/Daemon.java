package org.tanagermoor.kernel.daemon;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.event.EventOutput;
import org.tanagermoor.kernel.event.KernelEvent;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.plugin.Kernel;
import org.tanagermoor.kernel.setting.Setting;
import org.tanagermoor.kernel.setting.Settings;
import org.tanagermoor.kernel.time.TimeSource;

/**
 * The daemon {@code tanagermoord}, which runs as one process on each entry instance. It reads the settings, starts the
 * plug-ins and stops them when the process is told to stop.
 */
public final class Daemon {

    /** The exit code when a setting is invalid. */
    static final int EXIT_INVALID_SETTINGS = 2;

    /** The exit code when a plug-in failed to start. */
    static final int EXIT_START_FAILED = 1;

    private final Kernel kernel;

    private final Context context;

    private final EventOutput output;

    /**
     * Creates a daemon that is not started.
     *
     * @param context The context that is passed to the plug-ins.
     * @param output The destination of the events, which is closed after the plug-ins are stopped.
     */
    private Daemon(Kernel kernel, Context context, EventOutput output) {
        this.kernel = kernel;
        this.context = context;
        this.output = output;
    }

    /**
     * Runs the daemon until the process is told to stop.
     *
     * @throws InterruptedException If the main thread is interrupted.
     */
    public static void main(String[] arguments) throws InterruptedException {
        List<String> flags = List.of(arguments);
        if (flags.contains("--help")) {
            printHelp(System.out);
            return;
        }
        AtomicReference<@Nullable Daemon> running = new AtomicReference<>();
        HangupSignal.handle(() -> reload(running.get()));
        Either<List<String>, Daemon> daemon = of(flags, System.getenv());
        if (daemon.isLeft()) {
            daemon.getLeft().forEach(problem -> System.err.println("tanagermoord: " + problem));
            System.exit(EXIT_INVALID_SETTINGS);
        }
        running.set(daemon.get());
        run(daemon.get());
    }

    /** Reads the settings file again, unless it has yet to be read for the first time. */
    private static void reload(@Nullable Daemon daemon) {
        if (daemon != null) {
            daemon.reload();
        }
    }

    /**
     * Reads the settings and creates a daemon that is not started.
     *
     * @return The daemon, or one sentence for each invalid setting.
     */
    static Either<List<String>, Daemon> of(List<String> arguments, Map<String, String> environment) {
        return SettingsFile.read(readEarly(arguments, environment, Map.of(), DaemonSettings.CONFIG))
                .flatMap(file -> of(arguments, environment, file));
    }

    /** Creates a daemon; settings from the file apply only where neither a flag nor a variable is given. */
    private static Either<List<String>, Daemon> of(
            List<String> arguments, Map<String, String> environment, Map<String, String> file) {
        Set<String> plugins = readEarly(arguments, environment, file, DaemonSettings.PLUGINS);
        Kernel kernel;
        try {
            kernel = plugins.isEmpty() ? Kernel.load() : Kernel.load(plugins);
        } catch (IllegalArgumentException exception) {
            return Either.left(List.of(String.valueOf(exception.getMessage())));
        }
        return Settings.parse(settings(kernel), arguments, environment, file).map(settings -> {
            Logging.configure(settings.value(DaemonSettings.LOG_LEVEL));
            EventOutput output = output(settings);
            EventLog events = EventLog.Default.of(
                    settings.value(DaemonSettings.INSTANCE_NAME), TimeSource.ForSystem.INSTANCE, output);
            Context context = Context.of(settings, events, new MetricRegistry(), TimeSource.ForSystem.INSTANCE);
            return new Daemon(kernel, context, output);
        });
    }

    /** Returns the output that the log format selects. */
    private static EventOutput output(Settings settings) {
        return switch (settings.value(DaemonSettings.LOG_FORMAT)) {
            case TEXT -> new EventOutput.ForLogger();
            case JSON ->
                EventOutput.ForStream.of(
                        new FileOutputStream(FileDescriptor.out), settings.value(DaemonSettings.LOG_LEVEL));
        };
    }

    /**
     * Reads one setting before the full set of settings is known, which depends on the plug-ins. Other flags and
     * variables are ignored here.
     */
    private static <T> T readEarly(
            List<String> arguments, Map<String, String> environment, Map<String, String> file, Setting<T> setting) {
        List<String> relevant = new ArrayList<>();
        for (int index = 0; index < arguments.size(); index++) {
            String argument = arguments.get(index);
            if (argument.startsWith(setting.flag() + "=")) {
                relevant.add(argument);
            } else if (argument.equals(setting.flag()) && index + 1 < arguments.size()) {
                relevant.add(argument);
                relevant.add(arguments.get(index + 1));
            }
        }
        String variable = environment.get(setting.variable());
        Map<String, String> variables = variable == null ? Map.of() : Map.of(setting.variable(), variable);
        return Settings.parse(List.of(setting), relevant, variables, file)
                .map(settings -> settings.value(setting))
                .getOrElseThrow(problems -> new IllegalArgumentException(problems.toString()));
    }

    /** Starts all plug-ins, each after those that it requires. */
    void start() {
        kernel.start(context);
    }

    /** Stops all plug-ins after each had the chance to finish its current work. */
    void stop() {
        kernel.stop(context);
        output.close();
    }

    /** Reads the settings file again and records the outcome; changed settings take effect at the next start. */
    void reload() {
        String path = context.settings().value(DaemonSettings.CONFIG);
        Either<List<String>, Map<String, String>> file = SettingsFile.read(path);
        context.events()
                .record(
                        KernelEvent.SETTINGS_REREAD,
                        "file",
                        path,
                        "outcome",
                        file.fold(problems -> "unreadable: " + problems, read -> read.size() + " settings"));
    }

    /** Returns the settings of the daemon and of all plug-ins. A setting that several declare appears once. */
    static List<Setting<?>> settings(Kernel kernel) {
        List<Setting<?>> result = new ArrayList<>(DaemonSettings.all());
        for (Setting<?> setting : kernel.settings()) {
            if (result.stream().noneMatch(known -> known.name().equals(setting.name()))) {
                result.add(setting);
            }
        }
        return result;
    }

    /**
     * Runs a daemon until the process is told to stop.
     *
     * @throws InterruptedException If the main thread is interrupted.
     */
    private static void run(Daemon daemon) throws InterruptedException {
        CountDownLatch stopped = new CountDownLatch(1);
        try {
            daemon.start();
        } catch (RuntimeException exception) {
            System.err.println("tanagermoord: failed to start: " + exception);
            System.exit(EXIT_START_FAILED);
        }
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            daemon.stop();
                            stopped.countDown();
                        },
                        "stop"));
        if (daemon.context.settings().value(DaemonSettings.LOG_FORMAT) == DaemonSettings.LogFormat.TEXT) {
            System.out.println("ready");
        }
        stopped.await();
    }

    /**
     * Prints each setting with its flag, environment variable, description and default.
     */
    private static void printHelp(PrintStream out) {
        out.println("tanagermoord, the daemon of tanagermoor. Settings, as flag and environment variable:");
        for (Setting<?> setting : settings(Kernel.load())) {
            String fallback = setting.fallback() == null ? "must be given" : "default " + setting.fallback();
            out.printf("  %-32s %-44s %s (%s)%n", setting.flag(), setting.variable(), setting.description(), fallback);
        }
    }
}
