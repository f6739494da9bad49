import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in for a model server: runs as many requests at once as it has slots, lets a few wait, and answers each with
 * a stream of events that depends only on the identity of the request. Registers itself in the store.
 */
class ModelServer implements AutoCloseable {

    static final int QUEUE = 24;

    final String id;
    final String service;
    final String zone;
    final int slots;
    final long born = System.currentTimeMillis();
    final Http.Listener listener;
    final Store store;
    final Journal journal;
    private final Semaphore places;
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicLong sequence = new AtomicLong();
    private volatile boolean closed;
    volatile String state = "ready";

    /** The number of events of an answer. */
    volatile int events = 30;

    /** The time to the first event and between two events, in milliseconds. */
    volatile long firstMillis = 20;
    volatile long gapMillis = 5;

    /** The number of characters of the data of an event. */
    volatile int dataChars = 40;

    ModelServer(Store store, Journal journal, String id, String service, String zone, int slots) throws IOException {
        this.store = store;
        this.journal = journal;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        places = new Semaphore(slots, true);
        listener = new Http.Listener(0, this::handle);
        Thread.startVirtualThread(this::beat);
    }

    private void beat() {
        while (!closed) {
            register();
            pause(1_200);
        }
    }

    void register() {
        store.write(
                "servers",
                id,
                """
                {"service":"%s","address":"127.0.0.1:%d","zone":"%s","version":"v1","capacity":%d,"state":"%s",\
                "warmup_left_ms":0,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"sequence":%d,\
                "born":%d}"""
                        .formatted(
                                service, listener.port, zone, slots, state, sequence.incrementAndGet(), born));
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    int running() {
        return running.get();
    }

    /** Returns the data of an event of the answer to a request. */
    String data(String request, int event) {
        String text = request + "." + event + ".";
        return text + "x".repeat(Math.max(0, dataChars - text.length()));
    }

    /** Returns the complete output of a request as a result of a batch job holds it. */
    String output(String request) {
        StringBuilder output = new StringBuilder();
        for (int event = 1; event <= events; event++) {
            output.append(event == 1 ? "" : "\n").append(data(request, event));
        }
        return output.toString();
    }

    Map<String, String> answerHeaders(String request) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Request-Id", request);
        headers.put("X-Instance-Id", id);
        headers.put("X-Server-Load", running.get() + "," + waiting.get() + "," + slots);
        return headers;
    }

    boolean handle(Http.Message request, Http.Connection connection) throws Exception {
        String name = request.header("X-Request-Id");
        if (request.path().equals("/healthz")) {
            connection.answer(200, answerHeaders(""), new byte[0]);
            return true;
        }
        Map<String, String> headers = answerHeaders(name);
        if (!request.header("X-Expect-Instance").equals(id)) {
            connection.answer(421, headers, new byte[0]);
            return true;
        }
        if (waiting.incrementAndGet() > QUEUE) {
            waiting.decrementAndGet();
            headers.put("X-Not-Executed", "1");
            connection.answer(503, headers, new byte[0]);
            return true;
        }
        journal.record("reached", name, id, request.line() + " last " + request.header("Last-Event-Id"));
        places.acquire();
        waiting.decrementAndGet();
        running.incrementAndGet();
        try {
            return run(request, connection);
        } finally {
            running.decrementAndGet();
            places.release();
        }
    }

    /** Runs a request; returns whether the connection is kept. */
    boolean run(Http.Message request, Http.Connection connection) throws Exception {
        String name = request.header("X-Request-Id");
        int last = request.header("Last-Event-Id").isEmpty() ? 0 : Integer.parseInt(request.header("Last-Event-Id"));
        journal.record("run", name, id, "from " + last);
        Map<String, String> headers = answerHeaders(name);
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
        headers.put("X-Response-Signature", "sig." + name);
        headers.put("Content-Type", "text/event-stream");
        headers.put("Transfer-Encoding", "chunked");
        headers.forEach((key, value) -> head.append(key).append(": ").append(value).append("\r\n"));
        long pause = firstMillis;
        Thread.sleep(pause);
        connection.write(head + "\r\n");
        for (int event = last + 1; event <= events; event++) {
            String text = "id: " + event + "\ndata: " + data(name, event) + "\n\n";
            connection.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            Thread.sleep(gapMillis);
        }
        connection.write("0\r\n\r\n");
        journal.record("ended", name, id, "at " + events);
        return true;
    }

    @Override
    public void close() {
        closed = true;
        listener.close();
    }
}
