import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** An instance of the project, started by the command of its deploy file with rendered settings. */
final class Instance implements AutoCloseable {

    final String name;
    final String zone;
    final int front;
    final int ready;
    final int directory;
    final int control;
    final int metrics;
    private final Path folder;
    private final Path settings;
    private final Path root;
    volatile Process process;
    volatile boolean closed;

    /**
     * @param root The root of the repository.
     * @param folder A temporary folder.
     * @param storePort The port of the store, or of a proxy before it.
     * @param controls The control ports of the instances that are named as seeds.
     */
    Instance(Path root, Path folder, String name, String zone, int[] ports, int storePort, List<Integer> controls)
            throws IOException {
        this.root = root;
        this.folder = folder;
        this.name = name;
        this.zone = zone;
        front = ports[0];
        ready = ports[1];
        directory = ports[2];
        control = ports[3];
        metrics = ports[4];
        settings = folder.resolve(name + ".toml");
        List<String> seeds = controls.stream().map(port -> "127.0.0.1:" + port).toList();
        Map<String, String> values = Map.ofEntries(
                Map.entry("node_name", name),
                Map.entry("zone", zone),
                Map.entry("listen_addrs.front", "127.0.0.1:" + front),
                Map.entry("listen_addrs.ready", "127.0.0.1:" + ready),
                Map.entry("listen_addrs.directory", "127.0.0.1:" + directory),
                Map.entry("listen_addrs.control", "127.0.0.1:" + control),
                Map.entry("ip", "127.0.0.1"),
                Map.entry("seeds", String.join(",", seeds)),
                Map.entry("provider.address", "127.0.0.1:" + storePort),
                Map.entry("limits.cpu_quota", "0.75"),
                Map.entry("limits.cores", "2"),
                Map.entry("bounds.grace_s", "8"),
                Map.entry("bounds.status_s", "120"),
                Map.entry(
                        "guarantees",
                        "base,drain,config,cost,recover,batch,stream,engine,tenants,quota,places,platform"));
        String text = Files.readString(root.resolve("deploy/instance.properties"));
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        text = text.replaceAll("\\{\\{[^}]*}}", "").replace("127.0.0.1:9464", "127.0.0.1:" + metrics);
        Files.writeString(settings, text);
    }

    /** Returns free ports outside of the range from which systems draw the ports of clients. */
    static int[] freePorts(int count) {
        int[] ports = new int[count];
        for (int found = 0; found < count; ) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                ports[found] = socket.getLocalPort();
                found++;
            } catch (IOException exception) {
                // Another process has the port.
            }
        }
        return ports;
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder("target/runtime/bin/java", "@target/java.args");
        builder.directory(root.toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("TANAGERMOOR_CONFIG", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        process = builder.start();
    }

    boolean isReady() {
        try {
            return Http.call(ready, "GET", "/v1/ready", Map.of("Host", "ready"), null, 1_000).status() == 200;
        } catch (IOException exception) {
            return false;
        }
    }

    boolean awaitReady(long millis) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            if (isReady()) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Returns the lines of the log. */
    List<String> log() throws IOException {
        return Files.readAllLines(folder.resolve(name + ".log"));
    }

    @Override
    public void close() {
        closed = true;
        if (process != null && process.isAlive()) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
