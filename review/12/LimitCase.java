package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Six instances, two of them in the zone of all clients, which use these two as the directory says. No tenant has a
 * quota. The only server of the service names a limit for ten seconds. Two jobs are submitted meanwhile, and read until
 * finish_s after that; clients of streams ask all the time.
 */
public final class LimitCase extends ScriptedCase {

    /** The time after which items of open jobs must be listed, in milliseconds. */
    private static final long FINISH_MILLIS = 18_000;

    /** The calm time before that, in which no server had an item, in milliseconds. */
    private static final long CALM_MILLIS = 5_000;

    private static final int ITEMS = 40;

    private static final String LIMIT = "10";

    private static final long LIMIT_MILLIS = 10_000;

    public static void main(String[] arguments) {
        new LimitCase().run(arguments[0]);
    }

    /** {@inheritDoc} */
    @Override
    protected int play() throws Exception {
        store.put("op", "config", Site.configuration(7, "", 0));
        Engine engine = new Engine(store, log, "i-0", Site.SERVICE, "z-0", 8, 20, 20);
        engines.add(engine);
        List<Fleet.Instance> instances = new ArrayList<>();
        for (int number = 0; number < 6; number++) {
            instances.add(fleet.add("edge-" + number, number < 2 ? "z-0" : "z-1", store.port(), "0.75*2"));
        }
        for (Fleet.Instance instance : instances) {
            fleet.start(instance);
        }
        if (!fleet.awaitReady(20_000)) {
            return NOT_RUN;
        }
        pause(4_000);
        log.line("the directory says to clients in z-0: " + fleet.directory(instances.get(0), "z-0"));
        int port = instances.get(0).front;
        int otherPort = instances.get(1).front;
        log.line("clients use the ports " + port + " and " + otherPort);
        Batch client = new Batch(log, Site.BATCH_HOST, Site.BATCH_PREFIX, Site.KEY);
        client.submit(port, "aa00", 8);
        Batch.Reader early = client.new Reader("aa00");
        for (int read = 0; read < 8 && early.items.size() < 8; read++) {
            early.read(port);
        }
        if (early.items.size() < 8 || ask(port, "cc") != 200) {
            log.line("what came before the disruption was not done");
            return NOT_RUN;
        }
        if (trouble) {
            engine.limit(LIMIT);
        }
        long limitEnds = System.nanoTime() + LIMIT_MILLIS * 1_000_000;
        List<Batch.Reader> readers = new ArrayList<>();
        for (String job : List.of("bb00", "bb11")) {
            if (client.submit(job.equals("bb00") ? port : otherPort, job, ITEMS) == 202) {
                readers.add(client.new Reader(job));
            }
        }
        int asked = 0;
        int served = 0;
        while (System.nanoTime() < limitEnds) {
            served += ask(asked % 2 == 0 ? port : otherPort, "dd" + asked++) == 200 ? 1 : 0;
            readers.forEach(reader -> reader.read(port));
            pause(500);
        }
        log.line("while the limit was named, " + served + " of " + asked + " requests for streams were served");
        if (trouble) {
            engine.limit("");
        }
        // Traffic ends with the limit; the rest is the time that jobs have afterwards.
        long finishedAt = System.nanoTime() + FINISH_MILLIS * 1_000_000;
        long calmAt = finishedAt - CALM_MILLIS * 1_000_000;
        int before = -1;
        boolean ran = false;
        while (System.nanoTime() < finishedAt) {
            if (System.nanoTime() >= calmAt) {
                before = before < 0 ? begun() : before;
                ran |= anyRunning();
            }
            for (Batch.Reader reader : readers) {
                if (reader.items.size() < ITEMS) {
                    reader.read(port);
                }
            }
            pause(100);
        }
        ran |= begun() != before;
        long unlisted = readers.stream().mapToInt(reader -> ITEMS - reader.items.size()).sum();
        log.line(readers.size() + " jobs were accepted; finish_s after the last traffic " + unlisted
                + " of their items are not listed; " + (ran ? "the server ran items" : "the server ran nothing")
                + " in the 5 s before");
        int after = ask(port, "ee");
        log.line("a request for a stream, long after the limit has ended: " + after);
        return readers.isEmpty() ? NOT_RUN : unlisted > 0 && !ran ? BROKEN : HELD;
    }

    /** Sends a request for a stream; returns the status of the answer, 0 if none came or it was cut off. */
    private int ask(int port, String id) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", Site.STREAM_HOST);
        headers.put("Authorization", "Bearer " + Site.KEY);
        headers.put("X-Request-Id", id);
        headers.put("X-Model", "m");
        headers.put("X-Token-Count", "350,20");
        headers.put("X-Prompt-Prefix", "9c2e41:100," + id + ":250");
        headers.put("X-Deadline-Ms", "5000");
        Http.Answer answer = Http.call(port, "POST", Site.STREAM_PREFIX + id, headers, new byte[10], 6_000);
        log.line("stream " + id + " sent to port " + port + ": " + answer.status()
                + (answer.complete() ? "" : ", cut off"));
        return answer.complete() ? answer.status() : 0;
    }
}
