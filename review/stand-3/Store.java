package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for the platform's store: rows, transactions, the feed of changes and objects, with the usual delays. */
public final class Store implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();

    private static final int MAX_ROWS = 500;

    private static final int MAX_BYTES = 1_000_000;

    private static final int MAX_ENTRIES = 100;

    private static final long TX_MILLIS = 5;

    private static final long READ_MILLIS = 4;

    private static final long BLOB_MILLIS = 25;

    /** The rows by table, part and key. */
    private final TreeMap<String, ObjectNode> rows = new TreeMap<>();

    /** All changes in the order of their versions. */
    private final List<ObjectNode> history = new ArrayList<>();

    private final TreeMap<String, byte[]> objects = new TreeMap<>();

    private long version = 100;

    private final int port;

    private final ServerSocket server;

    /** Observes the calls that arrive; used by cases to place a disruption. */
    private volatile java.util.function.Consumer<Http.Request> observer = request -> {};

    public Store() throws IOException {
        port = Http.freePort();
        server = Http.serve(port, this::handle);
    }

    /** Returns the port on which calls are taken. */
    public int port() {
        return port;
    }

    /** Sets the observer of calls. */
    public void observe(java.util.function.Consumer<Http.Request> value) {
        observer = value;
    }

    /** Writes a row without a part, as the operator or a server does; the return is the acknowledgement. */
    public void put(String table, String key, String value) {
        ObjectNode row = JSON.createObjectNode();
        row.put("table_name", table).put("part", "").put("key", key);
        row.put("value", Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
        synchronized (this) {
            apply(row, ++version, false);
            notifyAll();
        }
    }

    /** Removes a row without a part. */
    public void remove(String table, String key) {
        ObjectNode row = JSON.createObjectNode();
        row.put("table_name", table).put("part", "").put("key", key);
        synchronized (this) {
            apply(row, ++version, true);
            notifyAll();
        }
    }

    private static String name(JsonNode row) {
        return row.path("table_name").asText() + "\0" + row.path("part").asText() + "\0"
                + row.path("key").asText();
    }

    private void apply(ObjectNode row, long newVersion, boolean removed) {
        row.put("api_version", newVersion);
        if (removed) {
            rows.remove(name(row));
            row.put("tombstone", true);
        } else {
            rows.put(name(row), row);
        }
        history.add(row);
    }

    private boolean handle(Http.Request request, Socket socket) throws Exception {
        observer.accept(request);
        String path = request.path();
        if (path.startsWith("/v1/blob-")) {
            Thread.sleep(BLOB_MILLIS);
            return blob(request, socket, path);
        }
        ObjectNode answer = JSON.createObjectNode();
        int status =
                switch (path) {
                    case "/v1/rows-tx" -> transact(request.body(), answer);
                    case "/v1/rows-get" -> get(request.query(), answer);
                    case "/v1/rows-parts" -> parts(request.query(), answer);
                    case "/v1/rows-feed" -> feed(request.query(), answer);
                    default -> 404;
                };
        synchronized (this) {
            if (!answer.has("api_version")) {
                answer.put("api_version", version);
            }
        }
        answer.put("now_ms", System.nanoTime() / 1_000_000);
        Http.write(
                socket,
                status,
                Map.of("Content-Type", "application/json"),
                answer.toString().getBytes(StandardCharsets.UTF_8));
        return true;
    }

    private int transact(byte[] body, ObjectNode answer) throws Exception {
        JsonNode call = JSON.readTree(body);
        int entries = call.path("expected_rev").size()
                + call.path("put").size()
                + call.path("remove").size();
        if (entries > MAX_ENTRIES || body.length > MAX_BYTES) {
            return 413;
        }
        Thread.sleep(TX_MILLIS);
        synchronized (this) {
            ArrayNode current = JSON.createArrayNode();
            boolean holds = true;
            for (JsonNode expected : call.path("expected_rev")) {
                ObjectNode row = rows.get(name(expected));
                long found = row == null ? 0 : row.path("api_version").asLong();
                holds &= found == expected.path("api_version").asLong();
                if (row != null) {
                    current.add(row);
                }
            }
            if (!holds) {
                answer.set("rows", current);
                return 412;
            }
            if (call.path("put").isEmpty() && call.path("remove").isEmpty()) {
                return 200;
            }
            long newVersion = ++version;
            for (JsonNode row : call.path("put")) {
                apply(((ObjectNode) row).deepCopy(), newVersion, false);
            }
            for (JsonNode row : call.path("remove")) {
                apply(((ObjectNode) row).deepCopy(), newVersion, true);
            }
            answer.put("api_version", newVersion);
            notifyAll();
        }
        return 200;
    }

    private int get(Map<String, String> query, ObjectNode answer) throws InterruptedException {
        Thread.sleep(READ_MILLIS);
        String prefix = query.get("table_name") + "\0" + query.getOrDefault("part", "") + "\0";
        int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("limit", "500")));
        ArrayNode found = answer.putArray("rows");
        int bytes = 0;
        boolean truncated = false;
        synchronized (this) {
            for (Map.Entry<String, ObjectNode> entry :
                    rows.tailMap(prefix + query.getOrDefault("from", "")).entrySet()) {
                if (!entry.getKey().startsWith(prefix)) {
                    break;
                }
                String key = entry.getKey().substring(prefix.length());
                if (query.containsKey("to") && key.compareTo(query.get("to")) >= 0) {
                    break;
                }
                int size = entry.getValue().path("value").asText().length() + 200;
                if (found.size() >= limit || (found.size() > 0 && bytes + size > MAX_BYTES)) {
                    truncated = true;
                    break;
                }
                bytes += size;
                found.add(entry.getValue());
            }
            answer.put("api_version", version);
        }
        answer.put("truncated", truncated);
        return 200;
    }

    private int parts(Map<String, String> query, ObjectNode answer) throws InterruptedException {
        Thread.sleep(READ_MILLIS);
        ArrayNode names = answer.putArray("parts");
        String last = null;
        synchronized (this) {
            for (ObjectNode row : rows.values()) {
                String part = row.path("part").asText();
                if (row.path("table_name").asText().equals(query.get("table_name")) && !part.equals(last)) {
                    names.add(part);
                    last = part;
                }
            }
            answer.put("api_version", version);
        }
        return 200;
    }

    private int feed(Map<String, String> query, ObjectNode answer) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() + Math.min(30_000, Long.parseLong(query.get("wait_ms"))) * 1_000_000;
        ArrayNode changes = answer.putArray("rows");
        synchronized (this) {
            while (true) {
                for (ObjectNode row : history) {
                    if (row.path("api_version").asLong() > after
                            && row.path("table_name").asText().equals(query.get("table_name"))) {
                        changes.add(row);
                    }
                }
                long left = (until - System.nanoTime()) / 1_000_000;
                if (!changes.isEmpty() || left <= 0) {
                    break;
                }
                wait(left);
            }
            answer.put("api_version", version);
        }
        Thread.sleep(READ_MILLIS);
        return 200;
    }

    private boolean blob(Http.Request request, Socket socket, String path) throws IOException {
        String name = path.substring(path.lastIndexOf('/') + 1);
        byte[] found;
        int status = 200;
        synchronized (this) {
            found = objects.get(name);
            switch (request.method()) {
                case "PUT" -> {
                    if (found != null && request.header("If-None-Match").equals("*")) {
                        status = 412;
                    } else {
                        objects.put(name, request.body());
                    }
                    found = new byte[0];
                }
                case "DELETE" -> {
                    status = objects.remove(name) == null ? 404 : 200;
                    found = new byte[0];
                }
                default -> {
                    status = found == null ? 404 : 200;
                    found = found == null ? new byte[0] : found;
                }
            }
        }
        Http.write(socket, status, Map.of("Content-Type", "application/octet-stream"), found);
        return true;
    }

    /** {@inheritDoc} */
    @Override
    public void close() throws IOException {
        server.close();
    }
}
