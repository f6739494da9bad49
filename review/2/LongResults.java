import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The owner of a batch job with long outputs is killed when most of its results are recorded. */
final class LongResults {

    private static final int ITEMS = 200;
    /** The number of items with a long output; each output takes two rows of the store. */
    private static final int LONG_ITEMS = 40;
    private static final int LONG_TOKENS = 12_000;
    private static final int SHORT_TOKENS = 400;
    /** Listed results at which the owner is killed. */
    private static final int KILL_AT = 175;
    private static final int EVENTS = 221;
    /** The data of an event: 60 tokens of about four characters. */
    private static final String DATA = "two reflectors of 600 by 450 for the back wall, white, with clips; ".repeat(4).strip();
    private static final long PAUSE_MILLIS = 12;
    private static final int FINISH_SECONDS = 18;
    private static final int CALM_SECONDS = 5;

    private LongResults() {}

    public static void main(String[] arguments) {
        Path folder = Path.of(arguments[0]);
        int exit = 2;
        try (Site site = new Site(folder, 3, 3)) {
            site.configure(18_000, 90, 3);
            for (int number = 0; number < 3; number++) {
                site.server(
                        "i-server" + number,
                        number,
                        8,
                        (request, event) -> event > EVENTS
                                ? null
                                : request.header("X-Token-Count").endsWith("," + LONG_TOKENS) ? DATA : "token " + event,
                        (request, event) -> PAUSE_MILLIS);
            }
            site.fleet.start();
            ModelServer.sleep(5_000);
            exit = play(site);
        } catch (Exception exception) {
            exception.printStackTrace();
        }
        System.exit(exit);
    }

    private static int play(Site site) throws Exception {
        Record record = site.record;
        Fleet.Instance owner = site.fleet.instance(0);
        List<Fleet.Instance> others = List.of(site.fleet.instance(1), site.fleet.instance(2));
        String job = Site.id();
        List<String> items = new ArrayList<>();
        for (int number = 0; number < ITEMS; number++) {
            items.add(Site.id());
        }
        if (site.submit(owner, job, Site.job(items, number -> number < LONG_ITEMS ? LONG_TOKENS : SHORT_TOKENS)).status() != 202) {
            return 2;
        }
        int listed = 0;
        while (listed < KILL_AT && Record.millis() < 60_000) {
            ModelServer.sleep(250);
            listed = Site.json(site.results(others.get(0).front(), job, listed)).path("next").asInt(listed);
        }
        record.add("%d of %d results can be read", listed, ITEMS);
        if (listed < KILL_AT || listed >= ITEMS) {
            return 2;
        }
        if (Site.TROUBLE) {
            owner.signal("KILL");
            ModelServer.sleep(1_000);
            owner.start();
        }
        long endedAt = Record.millis();
        long calmSince = endedAt;
        while (Record.millis() - endedAt < FINISH_SECONDS * 1_000L || Record.millis() - calmSince < CALM_SECONDS * 1_000L) {
            ModelServer.sleep(100);
            if (site.running(items) > 0) {
                calmSince = Record.millis();
            }
            if (Record.millis() > 105_000) {
                return 2;
            }
        }
        record.add("finish_s is over; no server has had an item for %d ms", Record.millis() - calmSince);
        Map<String, String> results = site.listed(others, job);
        long completed = results.values().stream().filter(state -> state.startsWith("completed")).count();
        record.add(
                "job %s: %d of %d items listed, %d of them completed, output of the first %s, result rows %d",
                job, results.size(), ITEMS, completed, results.get(items.get(0)), site.store.count("results", job));
        return results.size() < ITEMS ? 1 : 0;
    }
}
