package review;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Three instances. The open connections of one of them to the store fall silent for good, while new ones work. Just
 * before that a key is given, and just after it the key is taken away. A client asks that instance with the key.
 */
public final class SilentCase extends ScriptedCase {

    /** The time for which a machine is not in touch after its connections have failed, in nanoseconds. */
    private static final long CONTACT_NANOS = 3_000_000_000L;

    /** The time after its acknowledgement within which a configuration is in force, in nanoseconds. */
    private static final long CONFIG_APPLY_NANOS = 2_000_000_000L;

    private static final String SECOND_KEY = "w4hq8d2mxt0c6zrn1ks7";

    public static void main(String[] arguments) {
        new SilentCase().run(arguments[0]);
    }

    /** {@inheritDoc} */
    @Override
    protected int play() throws Exception {
        store.put("op", "config", Site.configuration(7, ""));
        for (int number = 0; number < 3; number++) {
            engines.add(new Engine(store, log, "i-" + number, Site.SERVICE, "z-" + number, 8, 5, 10));
        }
        try (Relay relay = new Relay(store.port())) {
            Fleet.Instance first = fleet.add("edge-0", "z-0", relay.port(), "0.75*2");
            Fleet.Instance second = fleet.add("edge-1", "z-1", store.port(), "0.75*2");
            Fleet.Instance third = fleet.add("edge-2", "z-2", store.port(), "0.75*2");
            for (Fleet.Instance instance : List.of(first, second, third)) {
                fleet.start(instance);
            }
            if (!fleet.awaitReady(20_000)) {
                return NOT_RUN;
            }
            pause(5_000);
            store.put("op", "config", Site.configuration(9, SECOND_KEY));
            log.line("version 9 with the second key is acknowledged");
            int status = 0;
            for (int number = 0; number < 50 && status != 200; number++) {
                status = ask(first.front, "before" + number);
            }
            if (status != 200) {
                log.line("the second key does not work");
                return NOT_RUN;
            }
            long silentAt = System.nanoTime();
            if (trouble) {
                log.line(relay.silenceOpen() + " open connections of edge-0 to the store fall silent");
            }
            pause(300);
            store.put("op", "config", Site.configuration(12, ""));
            long acknowledgedAt = System.nanoTime();
            log.line("version 12 without the second key is acknowledged");
            int late = 0;
            int number = 0;
            while (System.nanoTime() - silentAt < 6_000_000_000L) {
                long sentAt = System.nanoTime();
                boolean due = sentAt - silentAt > CONTACT_NANOS && sentAt - acknowledgedAt > CONFIG_APPLY_NANOS;
                if (ask(first.front, "after" + number++) == 200 && due) {
                    late++;
                }
                pause(40);
            }
            log.line(late + " requests with the key were run although they were sent later than contact_ms after the"
                    + " connections fell silent and later than config_apply_ms after the key was taken away");
            return late > 0 ? BROKEN : HELD;
        }
    }

    /** Sends a request with the second key; returns the status. */
    private int ask(int port, String id) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", Site.STREAM_HOST);
        headers.put("Authorization", "Bearer " + SECOND_KEY);
        headers.put("X-Request-Id", id);
        headers.put("X-Model", "m");
        headers.put("X-Token-Count", "350,20");
        headers.put("X-Prompt-Prefix", "9c2e41:100," + id + ":250");
        headers.put("X-Deadline-Ms", "5000");
        headers.put("Connection", "close");
        int status = Http.call(port, "POST", Site.STREAM_PREFIX + id, headers, new byte[10], 6_000)
                .status();
        log.line("stream " + id + ": " + status);
        return status;
    }
}
