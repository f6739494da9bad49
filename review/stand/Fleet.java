import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The instances of the system, each a process that is started with the command and the template of the deploy file. */
final class Fleet implements AutoCloseable {

    private static final int FRONT = 18_689;
    private static final int READY = 18_687;
    private static final int CONTROL = 18_683;
    private static final int DIRECTORY = 18_682;

    private final Path folder;
    private final Record record;
    private final Store store;
    private final int zones;
    private final String network = "127." + ThreadLocalRandom.current().nextInt(40, 250) + "."
            + ThreadLocalRandom.current().nextInt(1, 250) + ".";
    private final List<Instance> instances = new ArrayList<>();

    Fleet(Record record, Store store, int count, int zones) throws IOException {
        this.record = record;
        this.store = store;
        this.zones = zones;
        folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        for (int number = 1; number <= count; number++) {
            instances.add(new Instance(number));
        }
    }

    List<Instance> instances() {
        return instances;
    }

    Instance instance(int index) {
        return instances.get(index);
    }

    /** Starts all instances and waits until they are ready. */
    void start() throws IOException {
        for (Instance instance : instances) {
            instance.start();
        }
        for (Instance instance : instances) {
            instance.awaitReady();
        }
    }

    /** Ends all processes. */
    @Override
    public void close() {
        for (Instance instance : instances) {
            instance.end();
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted((left, right) -> right.compareTo(left))
                    .map(Path::toFile)
                    .forEach(File::delete);
        } catch (IOException exception) {
            // The folder is gone.
        }
    }

    /** One instance. */
    final class Instance {

        final String name;
        final String zone;
        final String ip;
        private final Path settings;
        private Process process;

        Instance(int number) {
            zone = "zone-" + (char) ('a' + (number - 1) % zones);
            name = "edge-" + zone + "-" + number;
            ip = network + number;
            settings = folder.resolve(name + ".properties");
        }

        InetSocketAddress front() {
            return new InetSocketAddress(ip, FRONT);
        }

        InetSocketAddress ready() {
            return new InetSocketAddress(ip, READY);
        }

        InetSocketAddress directory() {
            return new InetSocketAddress(ip, DIRECTORY);
        }

        /** Starts the process with the command of the deploy file. */
        void start() throws IOException {
            Files.writeString(settings, settings());
            String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                    .filter(line -> line.startsWith("run = "))
                    .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                    .findFirst()
                    .orElseThrow();
            ProcessBuilder builder = new ProcessBuilder(run.split(" "));
            Map<String, String> environment = builder.environment();
            environment.keySet().removeIf(key -> !List.of("PATH", "HOME", "LANG").contains(key));
            environment.put("TANAGERMOOR_CONFIG", settings.toString());
            File log = folder.resolve(name + ".log").toFile();
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
            process = builder.start();
            record.add("instance %s started, process %d", name, process.pid());
        }

        private String settings() throws IOException {
            String text = Files.readString(Path.of("deploy/instance.properties"));
            Map<String, String> values = new LinkedHashMap<>();
            values.put("node_name", name);
            values.put("zone", zone);
            values.put("listen_addrs.front", ip + ":" + FRONT);
            values.put("listen_addrs.ready", ip + ":" + READY);
            values.put("listen_addrs.directory", ip + ":" + DIRECTORY);
            values.put("listen_addrs.control", ip + ":" + CONTROL);
            values.put("ip", ip);
            values.put(
                    "seeds",
                    instances.stream().limit(3).map(other -> other.ip + ":" + CONTROL).collect(Collectors.joining(",")));
            values.put(
                    "provider.address",
                    store.address().getAddress().getHostAddress() + ":" + store.address().getPort());
            values.put("limits.cpu_quota", "0.75");
            values.put("limits.cores", "2");
            values.put("bounds.grace_s", "8");
            values.put("bounds.status_s", "120");
            for (Map.Entry<String, String> value : values.entrySet()) {
                text = text.replace("{{" + value.getKey() + "}}", value.getValue());
            }
            return text;
        }

        void awaitReady() {
            for (int attempt = 0; attempt < 300; attempt++) {
                if (Http.send(ready(), "GET", "/v1/ready", Map.of("Host", "ready"), new byte[0], 1_000).status() == 200) {
                    return;
                }
                ModelServer.sleep(100);
            }
            throw new IllegalStateException(name + " does not become ready");
        }

        boolean alive() {
            return process != null && process.isAlive();
        }

        /** Sends a signal to the process. */
        void signal(String signal) throws IOException {
            record.add("SIG%s to instance %s", signal, name);
            Process kill = new ProcessBuilder("sh", "-c", "kill -" + signal + " " + process.pid()).start();
            try {
                kill.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }

        void awaitEnd(long millis) throws InterruptedException {
            process.waitFor(millis, TimeUnit.MILLISECONDS);
        }

        private void end() {
            if (process != null) {
                process.destroyForcibly();
            }
        }
    }
}
