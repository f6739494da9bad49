package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/**
 * Two instances, two servers. Clients of two tenants submit jobs with one item each, whose identity is 1 in each job. For
 * five seconds one of the servers sends a late second copy of a few of its answers.
 */
public final class SameItemCase extends Case {

    private static final int CLIENTS = 12;

    private static final int EVENTS = 5;

    private static final long BEFORE_MILLIS = 2_000;

    private static final long COPIES_MILLIS = 5_000;

    private static final long AFTER_MILLIS = 3_000;

    /** The share of the answers that a second copy follows. */
    private static final double COPIES = 0.03;

    private static final String ITEM = "1";

    private static final String OTHER_KEY = "n2ctnfzs989anu6wsjnb";

    private final AtomicInteger completed = new AtomicInteger();

    private final AtomicInteger wrong = new AtomicInteger();

    private volatile boolean ending;

    public static void main(String[] arguments) {
        new SameItemCase().run(arguments[0]);
    }

    /** {@inheritDoc} */
    @Override
    protected int play() throws Exception {
        store.put("op", "config", Site.configuration(7, ""));
        for (int number = 0; number < 2; number++) {
            engines.add(new Engine(store, log, "i-" + number, Site.SERVICE, "z-" + number, 8, EVENTS, 5));
        }
        List<Fleet.Instance> instances = new ArrayList<>();
        for (int number = 0; number < 2; number++) {
            instances.add(fleet.add("edge-" + number, "z-" + number, store.port(), "0.75*2"));
        }
        for (Fleet.Instance instance : instances) {
            fleet.start(instance);
        }
        if (!fleet.awaitReady(20_000)) {
            return NOT_RUN;
        }
        pause(4_000);
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < CLIENTS; number++) {
            int client = number;
            clients.add(Thread.ofVirtual().start(() -> submitAll(client, instances.get(client % 2).front)));
        }
        pause(BEFORE_MILLIS);
        if (trouble) {
            engines.get(0).copies(COPIES);
        }
        pause(COPIES_MILLIS);
        if (trouble) {
            engines.get(0).copies(0);
        }
        pause(AFTER_MILLIS);
        ending = true;
        for (Thread client : clients) {
            client.join();
        }
        log.line(engines.get(0).sentCopies() + " second copies were sent; of " + completed.get()
                + " completed results " + wrong.get() + " had not the output of their item");
        return completed.get() == 0 ? NOT_RUN : wrong.get() > 0 ? BROKEN : HELD;
    }

    /** Submits one job after the other, and reads the result of each. */
    private void submitAll(int client, int port) {
        Batch batch = new Batch(
                log, Site.BATCH_HOST, Site.BATCH_PREFIX, client % 4 < 2 ? Site.KEY : OTHER_KEY);
        for (int number = 0; !ending; number++) {
            String job = String.format("c%02dn%04d", client, number);
            if (batch.submit(port, job, List.of(ITEM)) != 202) {
                continue;
            }
            Batch.Reader reader = batch.new Reader(job);
            for (int read = 0; read < 8 && reader.items.isEmpty(); read++) {
                reader.read(port);
            }
            if (!reader.items.isEmpty() && reader.states.get(0).equals("completed")) {
                completed.incrementAndGet();
                check(job, reader.outputs.get(0));
            }
        }
    }

    private void check(String job, String output) {
        byte[] body = Batch.body(job, ITEM).getBytes(java.nio.charset.StandardCharsets.UTF_8);
        List<String> events = IntStream.rangeClosed(1, EVENTS)
                .mapToObj(number -> Engine.data(ITEM, body, number))
                .toList();
        if (!output.equals(String.join("\n", events))) {
            wrong.incrementAndGet();
            log.line("WRONG result of " + job + ": " + output.replace('\n', '|'));
        }
    }
}
