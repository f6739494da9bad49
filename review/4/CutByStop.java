import java.nio.file.Path;
import java.util.Map;

/** A planned stop of an instance while clients that use an earlier answer of the directory send long streams to it. */
final class CutByStop {

    /** Events of a stream, and the pause before each: 3.6 s in all. */
    private static final int EVENTS = 36;
    private static final long PAUSE_MILLIS = 100;
    private static final int STREAMS = 6;

    private CutByStop() {}

    public static void main(String[] arguments) {
        Path folder = Path.of(arguments[0]);
        int exit = 2;
        try (Site site = new Site(folder, 3, 3)) {
            site.configure(18_000, 60, 3);
            for (int number = 0; number < 3; number++) {
                site.server(
                        "i-server" + number,
                        number,
                        8,
                        (request, event) -> event <= EVENTS ? "token " + event : null,
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
        Fleet.Instance stopped = site.fleet.instance(0);
        Http.Answer directory = Http.send(
                stopped.directory(),
                "GET",
                "/v1/resolve?name=shop.example&region=home&zone=zone-a",
                Map.of("Host", "directory"),
                new byte[0],
                1_000);
        record.add("client: directory answers %d %s", directory.status(), directory.text());
        long resolvedAt = Record.millis();
        if (Site.TROUBLE) {
            stopped.signal("TERM");
        }
        long stoppedAt = Record.millis();
        int[] broken = new int[STREAMS];
        Thread[] threads = new Thread[STREAMS];
        for (int index = 0; index < STREAMS; index++) {
            int number = index;
            long sendAt = stoppedAt + 4_000 + 150L * number;
            threads[index] = Thread.ofPlatform().daemon().start(() -> broken[number] = stream(site, stopped, sendAt, resolvedAt, stoppedAt));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        if (Site.TROUBLE) {
            stopped.awaitEnd(5_000);
            record.add("instance %s %s", stopped.name, stopped.alive() ? "still runs" : "has ended");
        }
        int cut = 0;
        for (int value : broken) {
            cut += value;
        }
        record.add("%d of %d streams were passed on to a server and cut without a complete answer", cut, STREAMS);
        return cut > 0 ? 1 : 0;
    }

    /** Sends a stream; returns 1 if it was passed on to a server and cut before its deadline. */
    private static int stream(Site site, Fleet.Instance instance, long sendAt, long resolvedAt, long stoppedAt) {
        ModelServer.sleep(Math.max(0, sendAt - Record.millis()));
        String id = Site.id();
        long sentAt = Record.millis();
        Http.Answer answer =
                Http.send(instance.front(), "POST", "/ask/2f", Site.online(id, 400, 5_000), "question".getBytes(), 5_000);
        boolean ran = site.runs.containsKey(id);
        boolean cut = ran && !answer.complete() && answer.tookMillis() < 4_900;
        site.record.add(
                "client: stream %s sent %d ms after the directory's answer, %d ms after the stop: status %d, complete %s, "
                        + "%d bytes, %d ms, at a server %s %s",
                id,
                sentAt - resolvedAt,
                sentAt - stoppedAt,
                answer.status(),
                answer.complete(),
                answer.body().length,
                answer.tookMillis(),
                ran,
                answer.error());
        return cut ? 1 : 0;
    }
}
