package review;

import java.util.ArrayList;
import java.util.List;

/**
 * Three instances and thirteen sound servers, which keep idle connections for a minute and say so. One instance has run a
 * job at all of them. Then all connections to the servers that are open go silent for good, while new ones work. A
 * job of the usual size is submitted at that instance, and one at another instance, and both are read until finish_s
 * after that.
 */
public final class SilentCase extends ScriptedCase {

    /** The time after which items of open jobs must be listed, in milliseconds. */
    private static final long FINISH_MILLIS = 18_000;

    /** The calm time before that, in which no server had an item, in milliseconds. */
    private static final long CALM_MILLIS = 5_000;

    /** The time after which a reset of connections is over for the rules (contact_ms), and some more. */
    private static final long CONTACT_MILLIS = 3_500;

    /** The time for which a server keeps an idle connection, in seconds. */
    private static final int KEPT_SECONDS = 60;

    private static final int SERVERS = 13;

    private static final int EARLY_ITEMS = 200;

    private static final int ITEMS = 10;

    public static void main(String[] arguments) {
        new SilentCase().run(arguments[0]);
    }

    /** {@inheritDoc} */
    @Override
    protected int play() throws Exception {
        store.put("op", "config", Site.configuration(7, ""));
        for (int number = 0; number < SERVERS; number++) {
            Engine engine = new Engine(store, log, "i-" + number, Site.SERVICE, "z-" + number % 3, 8, 60, 15);
            engine.keepAlive(KEPT_SECONDS);
            engines.add(engine);
        }
        List<Fleet.Instance> instances = new ArrayList<>();
        for (int number = 0; number < 3; number++) {
            instances.add(fleet.add("edge-" + number, "z-" + number, store.port(), "0.75*2"));
        }
        for (Fleet.Instance instance : instances) {
            fleet.start(instance);
        }
        if (!fleet.awaitReady(20_000)) {
            return NOT_RUN;
        }
        pause(4_000);
        int owner = instances.get(0).front;
        int other = instances.get(1).front;
        Batch client = new Batch(log, Site.BATCH_HOST, Site.BATCH_PREFIX, Site.KEY);
        client.submit(owner, "aa00", EARLY_ITEMS);
        Batch.Reader early = client.new Reader("aa00");
        for (int read = 0; read < 40 && early.items.size() < EARLY_ITEMS; read++) {
            early.read(owner);
            pause(300);
        }
        if (early.items.size() < EARLY_ITEMS) {
            log.line("the job before the disruption was not done");
            return NOT_RUN;
        }
        if (trouble) {
            engines.forEach(Engine::silence);
        }
        pause(CONTACT_MILLIS);
        List<Batch.Reader> readers = new ArrayList<>();
        for (String job : List.of("bb00", "cc00")) {
            if (client.submit(job.equals("bb00") ? owner : other, job, ITEMS) == 202) {
                readers.add(client.new Reader(job));
            }
        }
        // There is no traffic any more; the rest is the time that jobs have afterwards.
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
                    reader.read(other);
                }
            }
            pause(100);
        }
        ran |= begun() != before;
        for (Batch.Reader reader : readers) {
            log.line("job " + reader.name() + ": " + reader.items.size() + " of " + ITEMS + " items are listed");
        }
        long unlisted = readers.stream().mapToInt(reader -> ITEMS - reader.items.size()).sum();
        log.line(readers.size() + " jobs were accepted after it; finish_s later " + unlisted
                + " of their items are not listed; " + (ran ? "servers ran items" : "no server ran anything")
                + " in the 5 s before");
        return readers.isEmpty() ? NOT_RUN : unlisted > 0 && !ran ? BROKEN : HELD;
    }
}
