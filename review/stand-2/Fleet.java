import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A small deployment: the store, model servers and instances, which all end with it. */
final class Fleet implements AutoCloseable {

    final Path root;
    final Path folder;
    final Journal journal;
    final Store store = new Store();
    final List<ModelServer> servers = new ArrayList<>();
    final List<Instance> instances = new ArrayList<>();

    Fleet(Path root, Path record) throws IOException {
        this.root = root;
        folder = Files.createTempDirectory("review-2-");
        journal = new Journal(record);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> instances.forEach(Instance::close)));
    }

    /** Adds instances that are not started, in zones a, b, c in turn. */
    void addInstances(int count, int storePort) throws IOException {
        addInstances(java.util.Collections.nCopies(count, storePort));
    }

    /** Adds instances that are not started and reach the store at the given ports, in zones a, b, c in turn. */
    void addInstances(List<Integer> storePorts) throws IOException {
        int count = storePorts.size();
        List<int[]> ports = new ArrayList<>();
        List<Integer> seeds = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            int[] free = Instance.freePorts(5);
            ports.add(free);
            if (index < 3) {
                seeds.add(free[3]);
            }
        }
        for (int index = 0; index < count; index++) {
            String zone = "zone-" + (char) ('a' + index % 3);
            instances.add(new Instance(root, folder, "edge-" + (index + 1), zone, ports.get(index), storePorts.get(index), seeds));
        }
    }

    ModelServer addServer(String id, String service, String zone, int slots) throws IOException {
        ModelServer server = new ModelServer(store, journal, id, service, zone, slots);
        servers.add(server);
        return server;
    }

    /** Starts the instances and waits until all are ready. */
    boolean start() throws IOException, InterruptedException {
        for (Instance instance : instances) {
            instance.start();
        }
        for (Instance instance : instances) {
            if (!instance.awaitReady(20_000)) {
                journal.say(instance.name + " is not ready");
                return false;
            }
        }
        return true;
    }

    private void deleteFolder() {
        try (java.util.stream.Stream<Path> files = Files.walk(folder)) {
            if (System.getenv("KEEP") == null) {
                files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        } catch (IOException exception) {
            journal.say("the temporary folder stays: " + exception);
        }
    }

    @Override
    public void close() {
        instances.forEach(Instance::close);
        deleteFolder();
        servers.forEach(ModelServer::close);
        store.close();
        journal.close();
    }
}
