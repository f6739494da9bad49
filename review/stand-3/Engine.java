package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in for a model server, which registers in the store and answers each request with a stream of events. */
public final class Engine implements AutoCloseable {

    /** A run of a request, from the first event on. */
    public record Run(String server, String request, String team, String path, long startedAt, int after) {}

    private static final long HEARTBEAT_MILLIS = 1_200;

    private static final int QUEUE = 24;

    private final String id;

    private final String service;

    private final String zone;

    private final int slots;

    private final int events;

    private final long gapMillis;

    private final Store store;

    private final Log log;

    private final int port;

    private final ServerSocket server;

    private final Semaphore places;

    private final AtomicInteger waiting = new AtomicInteger();

    private final long born = System.currentTimeMillis();

    private final List<Run> runs = new ArrayList<>();

    private volatile boolean closed;

    /** The requests a second that the answers name as the limit; empty for none. */
    private volatile String limit = "";

    /** The time for which connections are kept, in seconds; 0 if the answers do not name it. */
    private volatile int keepAliveSeconds;

    /** The connections that have brought a request. */
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    /** The connections that are silent for good. */
    private final Set<Socket> silent = ConcurrentHashMap.newKeySet();

    private long sequence;

    /**
     * Starts a server.
     *
     * @param slots The number of requests that run at once.
     * @param events The number of events of an answer.
     * @param gapMillis The time between two events, in milliseconds.
     */
    public Engine(Store store, Log log, String id, String service, String zone, int slots, int events, long gapMillis)
            throws IOException {
        this.store = store;
        this.log = log;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.events = events;
        this.gapMillis = gapMillis;
        places = new Semaphore(slots, true);
        port = Http.freePort();
        server = Http.serve(port, this::handle);
        Thread.ofVirtual().start(this::beat);
    }

    private void beat() {
        try {
            while (!closed) {
                store.put(
                        "servers",
                        id,
                        "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
                                + "\",\"version\":\"v1\",\"capacity\":" + slots
                                + ",\"state\":\"ready\",\"warmup_left_ms\":0,\"born\":" + born
                                + ",\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]"
                                + ",\"sequence\":" + ++sequence + "}");
                Thread.sleep(HEARTBEAT_MILLIS);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sets the requests a second that the answers name as the limit from now on; empty for none. */
    public void limit(String value) {
        log.line("server " + id + (value.isEmpty() ? " names no limit" : " names the limit " + value));
        limit = value;
    }

    /** Sets the time for which connections are kept, in whole seconds, which the answers name; 0 names none. */
    public void keepAlive(int seconds) {
        keepAliveSeconds = seconds;
    }

    /** Lets the connections that are open now go silent for good: what they bring does not arrive, and nothing is sent. */
    public void silence() {
        log.line("the " + connections.size() + " open connections of server " + id + " go silent");
        silent.addAll(connections);
    }

    /** Returns the runs so far. */
    public synchronized List<Run> runs() {
        return List.copyOf(runs);
    }

    /** Returns the number of requests that run now. */
    public int running() {
        return slots - places.availablePermits();
    }

    private boolean handle(Http.Request request, Socket socket) throws Exception {
        connections.add(socket);
        connections.removeIf(Socket::isClosed);
        if (silent.contains(socket)) {
            log.line("server " + id + " does not get " + request.header("X-Request-Id") + ", sent on a silent connection");
            new CountDownLatch(1).await();
        }
        if (keepAliveSeconds > 0) {
            socket.setSoTimeout(keepAliveSeconds * 1_000);
        }
        String load = running() + "," + waiting.get() + "," + slots;
        if (request.path().equals("/healthz")) {
            Http.write(socket, 200, Map.of("X-Instance-Id", id, "X-Server-Load", load), new byte[0]);
            return true;
        }
        String name = request.header("X-Request-Id");
        String expected = request.header("X-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            Http.write(socket, 421, Map.of("X-Request-Id", name, "X-Instance-Id", id), new byte[0]);
            return true;
        }
        if (places.availablePermits() == 0 && waiting.get() >= QUEUE) {
            Http.write(socket, 503, Map.of("X-Request-Id", name, "X-Not-Executed", "1"), new byte[0]);
            return true;
        }
        waiting.incrementAndGet();
        places.acquire();
        waiting.decrementAndGet();
        try {
            return stream(request, socket, name, load);
        } finally {
            places.release();
        }
    }

    private boolean stream(Http.Request request, Socket socket, String name, String load) throws Exception {
        int after = request.header("Last-Event-Id").isEmpty() ? 0 : Integer.parseInt(request.header("Last-Event-Id"));
        Run run = new Run(id, name, request.header("X-Tenant"), request.path(), System.nanoTime(), after);
        synchronized (this) {
            runs.add(run);
        }
        log.line("server " + id + " begins " + name + " of " + run.team() + " after event " + after);
        OutputStream output = socket.getOutputStream();
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Content-Type", "text/event-stream");
        headers.put("X-Request-Id", name);
        headers.put("X-Response-Signature", "s." + id + "." + name);
        headers.put("X-Server-Load", load);
        headers.put("X-Weight-Versions", "1");
        if (!limit.isEmpty()) {
            headers.put("Server-Limit", limit);
        }
        if (keepAliveSeconds > 0) {
            headers.put("Keep-Alive", "timeout=" + keepAliveSeconds);
        }
        headers.put("Transfer-Encoding", "chunked");
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
        headers.forEach((key, value) ->
                head.append(key).append(": ").append(value).append("\r\n"));
        output.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
        for (int number = after + 1; number <= events; number++) {
            Thread.sleep(gapMillis);
            byte[] event = event(data(name, request.body(), number), number).getBytes(StandardCharsets.UTF_8);
            output.write((Integer.toHexString(event.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            output.write(event);
            output.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
        }
        output.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
        log.line("server " + id + " ends " + name);
        return true;
    }

    private static String event(String data, int number) {
        return "id: " + number + "\ndata: " + data + "\n\n";
    }

    /** Returns the data of an event, which depends on the content of the request. */
    public static String data(String name, byte[] body, int number) {
        return name + " " + number + " of " + new String(body, StandardCharsets.UTF_8);
    }

    /** {@inheritDoc} */
    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
    }
}
