package review;

import java.util.ArrayList;
import java.util.List;

/**
 * Three instances, the first with a share of 1.5 cores, the others with 0.333 of a core that is three times as fast. The
 * first one is removed for good. Jobs are submitted afterwards, and read until finish_s after the last submission.
 */
public final class ShareCase extends ScriptedCase {

    /** The time after which items of open jobs must be listed, in milliseconds. */
    private static final long FINISH_MILLIS = 18_000;

    /** The calm time before that, in which no server had an item, in milliseconds. */
    private static final long CALM_MILLIS = 5_000;

    private static final int ITEMS = 10;

    public static void main(String[] arguments) {
        new ShareCase().run(arguments[0]);
    }

    /** {@inheritDoc} */
    @Override
    protected int play() throws Exception {
        store.put("op", "config", Site.configuration(7, ""));
        for (int number = 0; number < 3; number++) {
            engines.add(new Engine(store, log, "i-" + number, Site.SERVICE, "z-" + number, 8, 30, 15));
        }
        Fleet.Instance first = fleet.add("edge-0", "z-0", store.port(), "0.75*2");
        Fleet.Instance second = fleet.add("edge-1", "z-1", store.port(), "0.333*3");
        Fleet.Instance third = fleet.add("edge-2", "z-2", store.port(), "0.333*3");
        for (Fleet.Instance instance : List.of(first, second, third)) {
            fleet.start(instance);
        }
        if (!fleet.awaitReady(20_000)) {
            return NOT_RUN;
        }
        pause(4_000);
        Batch client = new Batch(log, Site.BATCH_HOST, Site.BATCH_PREFIX, Site.KEY);
        client.submit(second.front, "aa00", ITEMS);
        Batch.Reader early = client.new Reader("aa00");
        for (int read = 0; read < 8 && early.items.size() < ITEMS; read++) {
            early.read(second.front);
        }
        if (early.items.size() < ITEMS) {
            log.line("the job before the disruption was not done");
            return NOT_RUN;
        }
        if (trouble) {
            fleet.signal(first, "KILL");
        }
        // Longer than contact_ms, and than the time in which an instance counts as lost.
        pause(10_000);
        List<Batch.Reader> readers = new ArrayList<>();
        for (int number = 0; number < 4; number++) {
            String job = "bb0" + number;
            if (client.submit(number % 2 == 0 ? second.front : third.front, job, ITEMS) == 202) {
                readers.add(client.new Reader(job));
            }
        }
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
                    reader.read(second.front);
                }
            }
            pause(100);
        }
        ran |= begun() != before;
        for (Batch.Reader reader : readers) {
            reader.read(third.front);
        }
        long unlisted = readers.stream().mapToInt(reader -> ITEMS - reader.items.size()).sum();
        log.line(readers.size() + " jobs were accepted after it; finish_s later " + unlisted + " of their items are not listed; "
                + (ran ? "servers ran items" : "no server ran anything") + " in the 5 s before");
        return readers.isEmpty() ? NOT_RUN : unlisted > 0 && !ran ? BROKEN : HELD;
    }
}
