import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * The operator removes the route of an accepted batch job. Then the machine that runs the job is stopped as planned and
 * starts again. The items that had not run must be listed once max_queue_s is over.
 */
public final class Case7 {

    private static final int ITEMS = 6;
    private static final int MAX_QUEUE_SECONDS = 30;
    private static final long FINISH_MILLIS = 18_000;
    private static final long GRACE_MILLIS = 8_000;

    private Case7() {}

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]).toAbsolutePath();
        boolean trouble = !arguments[2].equals("0");
        try (Fleet fleet = new Fleet(root, Path.of(arguments[1]).resolve("record.txt"))) {
            int status = run(fleet, trouble);
            fleet.journal.say("exit " + status);
            fleet.close();
            System.exit(status);
        }
    }

    private static String configuration(int version, boolean withRoute) {
        String online = Config.online("online", "h.example", "/o/", "s", "streaming", 2, true);
        String batch = Config.batch("batch", "h.example", "/b/", "s", 3, MAX_QUEUE_SECONDS);
        return Config.of(
                version,
                withRoute ? List.of(online, batch) : List.of(online),
                List.of(Config.service("s")),
                List.of(Config.tenant("t", "key")));
    }

    private static int run(Fleet fleet, boolean trouble) throws Exception {
        Journal journal = fleet.journal;
        fleet.store.write("op", "config", configuration(1, true));
        ModelServer server = fleet.addServer("i-1", "s", "zone-a", 1);
        server.gapMillis = 60;
        fleet.addInstances(2, fleet.store.port());
        if (!fleet.start()) {
            return 2;
        }
        Thread.sleep(4_000);
        Instance owner = fleet.instances.get(0);
        Client client = new Client(journal, "h.example", "key");
        List<String> items = Config.ids("dddd", ITEMS);
        if (client.submit(owner.front, "/b/", "dddd", Client.job("/b/", items, 500, 571), 4_000) != 202) {
            return 2;
        }
        long acceptedAt = journal.millis();
        Thread.sleep(1_000);
        journal.record("config", "2", "", "the route of the job is removed");
        fleet.store.write("op", "config", configuration(2, false));
        Thread.sleep(4_000);
        if (trouble) {
            journal.record("trouble", "SIGTERM", owner.name, "");
            owner.signal("TERM");
            boolean ended = owner.process.waitFor(GRACE_MILLIS, TimeUnit.MILLISECONDS);
            if (!ended) {
                owner.signal("KILL");
                owner.process.waitFor();
            }
            owner.start();
            journal.record("trouble", "started", owner.name, "again");
        }
        long checkAt = acceptedAt + MAX_QUEUE_SECONDS * 1_000L + FINISH_MILLIS;
        boolean calm = true;
        while (journal.millis() < checkAt) {
            Thread.sleep(500);
            calm &= journal.millis() < checkAt - 5_000 || server.running() == 0;
        }
        if (!calm) {
            return 2;
        }
        TreeMap<String, String> listed = new TreeMap<>();
        for (Instance instance : fleet.instances) {
            JsonNode page = client.results(instance.front, "dddd", 0, 1_000);
            if (page == null) {
                journal.say(instance.name + " does not tell the results");
                return 2;
            }
            for (JsonNode result : page.path("results")) {
                listed.put(result.path("id").asText(), result.path("state").asText());
            }
        }
        journal.say("listed: " + listed);
        int lost = 0;
        for (String item : items) {
            if (!listed.containsKey(item)) {
                lost++;
                journal.say("LOST " + item + " is listed neither as completed nor as dead_letter "
                        + (journal.millis() - acceptedAt) + " ms after the 202; runs "
                        + journal.entries("run", item).size());
            }
        }
        return lost > 0 ? 1 : 0;
    }
}
