import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The store is away for some seconds while items of a batch job finish whose outputs are not in Latin script. */
final class LongCommit {

    private static final int ITEMS = 24;
    private static final int TOKENS = 12_000;
    private static final int EVENTS = 221;
    /** The data of an event: 90 characters of three bytes each. */
    private static final String DATA = "壁の裏に置く反射板を二枚送ります。大きさは六百かける".repeat(4).substring(0, 90);
    private static final long OUTAGE_MILLIS = 4_500;
    private static final int FINISH_SECONDS = 18;
    private static final int CALM_SECONDS = 5;

    private LongCommit() {}

    public static void main(String[] arguments) {
        Path folder = Path.of(arguments[0]);
        int exit = 2;
        try (Site site = new Site(folder, 3, 3)) {
            site.configure(18_000, 90, 3);
            List<String> items = new ArrayList<>();
            for (int number = 0; number < ITEMS; number++) {
                items.add(Site.id());
            }
            for (int number = 0; number < 3; number++) {
                site.server(
                        "i-server" + number,
                        number,
                        8,
                        (request, event) -> event <= EVENTS ? DATA : null,
                        (request, event) -> 14 + items.indexOf(request.header("X-Request-Id")));
            }
            site.fleet.start();
            ModelServer.sleep(5_000);
            exit = play(site, items);
        } catch (Exception exception) {
            exception.printStackTrace();
        }
        System.exit(exit);
    }

    private static int play(Site site, List<String> items) throws Exception {
        Record record = site.record;
        Fleet.Instance owner = site.fleet.instance(0);
        List<Fleet.Instance> readers = site.fleet.instances();
        String job = Site.id();
        if (site.submit(owner, job, Site.job(items, TOKENS)).status() != 202) {
            return 2;
        }
        long acceptedAt = Record.millis();
        ModelServer.sleep(3_600);
        if (Site.TROUBLE) {
            record.add("the store answers 503 for %d ms", OUTAGE_MILLIS);
            site.store.trouble((path, body) -> Store.Effect.UNAVAILABLE);
            ModelServer.sleep(OUTAGE_MILLIS);
            site.store.trouble((path, body) -> Store.Effect.NONE);
            record.add("the store serves again");
        }
        while (site.running(items) > 0) {
            ModelServer.sleep(100);
        }
        long endedAt = Record.millis();
        record.add("no server has an item %d ms after the 202", endedAt - acceptedAt);
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
        Map<String, String> results = site.listed(readers, job);
        record.add("job %s: %d of %d items listed", job, results.size(), ITEMS);
        return results.size() < ITEMS ? 1 : 0;
    }
}
