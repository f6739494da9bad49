package review;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Four instances. Eight tenants submit jobs of 200 items, as many as their limits of waiting tokens allow. Three
 * instances are removed for good. Once finish_s is over, the servers are watched.
 */
public final class MemoryCase extends ScriptedCase {

    /** The time after the last submission after which items of open jobs must be listed, in milliseconds. */
    private static final long FINISH_MILLIS = 18_000;

    /** The calm time before that, in which no server had an item, in milliseconds. */
    private static final long CALM_MILLIS = 5_000;

    /**
     * The time after the last submission at which the case ends, in milliseconds: before an item may be given up, which
     * is max_queue_s after the first submission.
     */
    private static final long END_MILLIS = 40_000;

    private static final int INSTANCES = 4;

    private static final int TENANTS = 8;

    /** The number of jobs: with 10 for each tenant, 780,000 of its tokens wait. */
    private static final int JOBS = 80;

    private static final int ITEMS = 200;

    /** The number of tokens of an item: 350 of its prompt, and 40 of its output. */
    private static final int TOKENS = 390;

    /** The length of the body of an item, in bytes: a job has less than max_body_bytes. */
    private static final int BODY_BYTES = 14_000;

    public static void main(String[] arguments) {
        new MemoryCase().run(arguments[0]);
    }

    /** {@inheritDoc} */
    @Override
    protected int play() throws Exception {
        store.put("op", "config", configuration());
        for (int number = 0; number < 2; number++) {
            engines.add(new Engine(store, log, "i-" + number, Site.SERVICE, "z-" + number, 8, 40, 20));
        }
        List<Fleet.Instance> instances = new ArrayList<>();
        for (int number = 0; number < INSTANCES; number++) {
            instances.add(fleet.add("edge-" + number, "z-" + number, store.port(), "0.75*2"));
        }
        for (Fleet.Instance instance : instances) {
            fleet.start(instance);
        }
        if (!fleet.awaitReady(20_000)) {
            return NOT_RUN;
        }
        pause(3_000);
        int accepted = 0;
        long firstAt = System.nanoTime();
        for (int number = 0; number < JOBS; number++) {
            accepted += submit(instances.get(number % INSTANCES), number) == 202 ? 1 : 0;
        }
        long submittedAt = System.nanoTime();
        if (accepted < JOBS || submittedAt - firstAt > 18_000_000_000L) {
            log.line("the jobs were not accepted, or not in time");
            return NOT_RUN;
        }
        pause(1_000);
        Fleet.Instance left = instances.get(INSTANCES - 1);
        if (trouble) {
            for (int number = 0; number < INSTANCES - 1; number++) {
                fleet.signal(instances.get(number), "KILL");
            }
        }
        boolean broken = watch(submittedAt);
        log.line(left.name + " is " + (left.process.isAlive() ? "alive" : "gone") + ", and its output names "
                + fleet.output(left, "OutOfMemoryError").size() + " errors for lack of memory");
        return broken ? BROKEN : HELD;
    }

    /** Watches the servers until the case ends; returns whether they had no item for 5 s after finish_s was over. */
    private boolean watch(long submittedAt) throws Exception {
        int before = begun();
        long busyAt = System.nanoTime();
        long reportedAt = busyAt;
        while (System.nanoTime() - submittedAt < END_MILLIS * 1_000_000) {
            pause(20);
            long now = System.nanoTime();
            int begun = begun();
            busyAt = begun != before || anyRunning() ? now : busyAt;
            before = begun;
            if (now - reportedAt >= 1_000_000_000) {
                reportedAt = now;
                log.line("items that servers have begun so far: " + begun);
            }
            if (now - submittedAt >= FINISH_MILLIS * 1_000_000 && now - busyAt >= CALM_MILLIS * 1_000_000) {
                log.line((JOBS * ITEMS - begun) + " items of open jobs, or more, are not done and cannot be given up yet; "
                        + "no server had an item in the last 5 s, " + (now - submittedAt) / 1_000_000_000
                        + " s after the last submission");
                return true;
            }
        }
        return false;
    }

    private static String configuration() {
        StringBuilder tenants = new StringBuilder("\"tenants\":[");
        for (int number = 0; number < TENANTS; number++) {
            tenants.append(number == 0 ? "" : ",")
                    .append("{\"name\":\"team")
                    .append(number)
                    .append("\",\"api_keys\":[\"key-of-team-")
                    .append(number)
                    .append("\"],\"priority\":1,\"rate_per_s\":200,\"burst\":200}");
        }
        String rest = Site.configuration(7, "");
        return rest.substring(0, rest.indexOf("\"tenants\":")) + tenants + "]}";
    }

    /** Submits a job; returns the status, 0 if no answer came. */
    private int submit(Fleet.Instance instance, int number) {
        String job = String.format("cc%02d", number);
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'x');
        String text = Base64.getEncoder().encodeToString(body);
        StringBuilder requests = new StringBuilder("{\"requests\":[");
        for (int item = 0; item < ITEMS; item++) {
            String id = Batch.item(job, item);
            requests.append(item == 0 ? "" : ",")
                    .append("{\"id\":\"" + id + "\",\"path\":\"" + Site.BATCH_PREFIX + "run/" + id + "\",\"headers\":{"
                            + "\"X-Model\":\"m\",\"X-Token-Count\":\"350,40\",\"X-Prompt-Prefix\":\"5c1e07a2:100," + id
                            + ":250\"},\"body\":\"" + text + "\",\"tokens\":" + TOKENS + "}");
        }
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", Site.BATCH_HOST);
        headers.put("Authorization", "Bearer key-of-team-" + number % TENANTS);
        headers.put("X-Request-Id", job);
        headers.put("Content-Type", "application/json");
        headers.put("Connection", "close");
        byte[] bytes = requests.append("]}").toString().getBytes(StandardCharsets.UTF_8);
        int status = Http.call(instance.front, "POST", Site.BATCH_PREFIX + job, headers, bytes, 6_000)
                .status();
        log.line("job " + job + " with " + ITEMS + " items, " + bytes.length + " bytes, sent to " + instance.name + ": "
                + status);
        return status;
    }
}
