package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Instances of the system as separate processes, started with the command of the deploy file. */
public final class Fleet implements AutoCloseable {

    /** The environment that a program gets, beside the path of its settings. */
    private static final List<String> PASSED_VARIABLES = List.of("PATH", "HOME", "JAVA_HOME", "LANG");

    private final Log log;

    private final Path folder;

    private final List<Instance> instances = new CopyOnWriteArrayList<>();

    public Fleet(Log log) throws IOException {
        this.log = log;
        folder = Files.createTempDirectory("review-3-");
        Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
    }

    private void kill() {
        for (Instance instance : instances) {
            if (instance.process != null) {
                instance.process.destroyForcibly();
            }
        }
    }

    /** An instance, which may have ended. */
    public static final class Instance {

        /** The name of the instance. */
        public final String name;

        private final String zone;

        /** The port for clients. */
        public final int front = Http.freePort();

        private final int ready = Http.freePort();

        private final int control = Http.freePort();

        private final int directory = Http.freePort();

        private final int metrics = Http.freePort();

        private final int storePort;

        private final String share;

        /** The process of the last start. */
        public Process process;

        private Instance(String name, String zone, int storePort, String share) throws IOException {
            this.name = name;
            this.zone = zone;
            this.storePort = storePort;
            this.share = share;
        }
    }

    /**
     * Adds an instance, which is not started.
     *
     * @param storePort The port at which it reaches the store.
     * @param share The processor share as the template states it: the quota, and the cores.
     */
    public Instance add(String name, String zone, int storePort, String share) throws IOException {
        Instance instance = new Instance(name, zone, storePort, share);
        instances.add(instance);
        return instance;
    }

    /** Starts an instance. */
    public void start(Instance instance) throws IOException {
        Path settings = folder.resolve(instance.name + ".properties");
        Files.writeString(settings, settings(instance));
        ProcessBuilder builder = new ProcessBuilder("target/runtime/bin/java", "@target/java.args");
        Map<String, String> environment = new LinkedHashMap<>();
        PASSED_VARIABLES.forEach(name -> {
            if (System.getenv(name) != null) {
                environment.put(name, System.getenv(name));
            }
        });
        builder.environment().clear();
        builder.environment().putAll(environment);
        builder.environment().put("TANAGERMOOR_CONFIG", settings.toString());
        Path output = folder.resolve(instance.name + ".log");
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
        instance.process = builder.start();
        log.line("start " + instance.name + ", process " + instance.process.pid());
    }

    /** Returns the settings, as the platform fills in deploy/instance.properties. */
    private String settings(Instance instance) {
        List<String> seeds = instances.stream()
                .limit(3)
                .map(seed -> "127.0.0.1:" + seed.control)
                .toList();
        return String.join(
                "\n",
                "instance-name = " + instance.name,
                "failure-domain = " + instance.zone,
                "caller-address = 127.0.0.1:" + instance.front,
                "ready-address = 127.0.0.1:" + instance.ready,
                "directory-address = 127.0.0.1:" + instance.directory,
                "peer-address = 127.0.0.1:" + instance.control,
                "metrics-address = 127.0.0.1:" + instance.metrics,
                "seeds = " + String.join(",", seeds),
                "store-address = 127.0.0.1:" + instance.storePort,
                "processor-share = " + instance.share,
                "stop-grace-seconds = 8",
                "job-retention-seconds = 120",
                "guarantees = base,drain,config,cost,recover,batch,stream,engine,tenants,quota,places,platform",
                "canary-share = ",
                "canary-slack = ",
                "rollback-millis = ",
                "plugins = gateway",
                "log-format = json",
                "");
    }

    /** Waits until all started instances are ready; returns whether they are within a time in milliseconds. */
    public boolean awaitReady(long millis) throws InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < until) {
            List<Instance> started =
                    instances.stream().filter(instance -> instance.process != null).toList();
            if (!started.stream().allMatch(instance -> instance.process.isAlive())) {
                return false;
            }
            boolean all = started.stream()
                    .allMatch(instance -> Http.call(
                                            instance.ready, "GET", "/v1/ready", Map.of("Host", "x"), new byte[0], 500)
                                    .status()
                            == 200);
            if (all) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** Returns the answer of an instance's directory to clients in a zone. */
    public String directory(Instance instance, String zone) {
        return Http.call(
                        instance.directory,
                        "GET",
                        "/v1/resolve?name=" + Site.STREAM_HOST + "&region=r&zone=" + zone,
                        Map.of("Host", "x"),
                        new byte[0],
                        1_000)
                .text();
    }

    /** Sends a signal to the process of an instance. */
    public void signal(Instance instance, String signal) throws IOException, InterruptedException {
        log.line("signal " + signal + " to " + instance.name);
        new ProcessBuilder("kill", "-" + signal, Long.toString(instance.process.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }

    /** Returns the lines of an instance's output that contain a text. */
    public List<String> output(Instance instance, String text) throws IOException {
        Path file = folder.resolve(instance.name + ".log");
        return Files.exists(file)
                ? Files.readAllLines(file).stream()
                        .filter(line -> line.contains(text))
                        .toList()
                : List.of();
    }

    /** Returns the folder with the settings and outputs. */
    public Path folder() {
        return folder;
    }

    /** Ends all processes, and deletes the folder unless KEEP is set. */
    @Override
    public void close() throws IOException {
        kill();
        for (Instance instance : instances) {
            if (instance.process != null) {
                try {
                    instance.process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException exception) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        if (System.getenv("KEEP") == null) {
            for (Instance instance : instances) {
                Files.deleteIfExists(folder.resolve(instance.name + ".properties"));
                Files.deleteIfExists(folder.resolve(instance.name + ".log"));
            }
            Files.deleteIfExists(folder);
        } else {
            System.err.println("kept " + folder);
        }
    }
}
