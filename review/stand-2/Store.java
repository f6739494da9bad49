import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** A stand-in for the platform's metadata store, in its table form. */
final class Store implements AutoCloseable {

    static final ObjectMapper JSON = new ObjectMapper();

    private static final int MAX_ROWS = 500;
    private static final int MAX_BYTES = 1_000_000;
    private static final int MAX_ENTRIES = 100;
    private static final int MAX_BLOB_BYTES = 8_388_608;
    private static final long TX_MILLIS = 5;
    private static final long BLOB_MILLIS = 25;

    /** By table, part and key. Guarded by this. */
    private final TreeMap<String, ObjectNode> rows = new TreeMap<>();

    /** How long changes are kept. */
    private static final long RETENTION_NANOS = 20_000_000_000L;

    /** The changes in the order of their versions, and their times. Guarded by this. */
    private final List<ObjectNode> history = new ArrayList<>();

    private final List<Long> historyTimes = new ArrayList<>();

    /** The version up to which changes are no longer kept. Guarded by this. */
    private long historyStart;

    private final Map<String, byte[]> blobs = new TreeMap<>();

    private long version = 10;

    /** What happens to a call beside its execution. */
    interface Fault {

        /** Stands for a call that is executed later and not answered. */
        int LATE = -1;

        /**
         * Called before a call is executed. Returns a status to answer with instead; 0 to execute it; {@link #LATE} to
         * execute it some seconds later without an answer.
         */
        default int before(Http.Message request) throws Exception {
            return 0;
        }

        /** Called when a call was executed and before it is answered. Returns whether it is answered. */
        default boolean after(Http.Message request) throws Exception {
            return true;
        }
    }

    volatile Fault fault = new Fault() {};

    /** Receives each transaction that was applied, with the version. */
    volatile Consumer<JsonNode> applied = transaction -> {};

    private final Http.Listener listener;
    private final List<Http.Listener> others = new ArrayList<>();

    Store() throws IOException {
        listener = new Http.Listener(0, this::handle);
    }

    int port() {
        return listener.port;
    }

    /** Opens another port, so that the calls of one instance can be told from those of others. */
    int addPort() throws IOException {
        Http.Listener added = new Http.Listener(0, this::handle);
        others.add(added);
        return added.port;
    }

    /** Writes a row as the operator or a server does; returns its version. */
    synchronized long write(String table, String key, String json) {
        ObjectNode row = JSON.createObjectNode();
        row.put("table_name", table).put("part", "").put("key", key);
        row.put("value", Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)));
        put(row, ++version);
        notifyAll();
        return version;
    }

    synchronized void remove(String table, String key) {
        ObjectNode row = JSON.createObjectNode();
        row.put("table_name", table).put("part", "").put("key", key);
        drop(row, ++version);
        notifyAll();
    }

    /** Returns the values of the rows of a table with a key in any part. */
    synchronized List<byte[]> values(String table, String key) {
        return rows.values().stream()
                .filter(row -> row.path("table_name").asText().equals(table)
                        && row.path("key").asText().equals(key))
                .map(row -> Base64.getDecoder().decode(row.path("value").asText()))
                .toList();
    }

    /** Returns the values of all rows of a table. */
    synchronized List<byte[]> all(String table) {
        return rows.values().stream()
                .filter(row -> row.path("table_name").asText().equals(table))
                .map(row -> Base64.getDecoder().decode(row.path("value").asText()))
                .toList();
    }

    @Override
    public void close() {
        listener.close();
        others.forEach(Http.Listener::close);
    }

    /** Resets all connections. */
    void resetAll() {
        listener.open.forEach(Http.Connection::reset);
    }

    private boolean handle(Http.Message request, Http.Connection connection) throws Exception {
        int refused = fault.before(request);
        if (refused == Fault.LATE) {
            Thread.startVirtualThread(() -> executeLate(request));
            return false;
        }
        if (refused != 0) {
            connection.answer(refused, Map.of(), new byte[0]);
            return true;
        }
        ObjectNode answer = JSON.createObjectNode();
        byte[] raw = null;
        int status = 200;
        String path = request.path();
        if (path.startsWith("/v1/blob-")) {
            Thread.sleep(BLOB_MILLIS);
            String name = path.substring(path.lastIndexOf('/') + 1);
            raw = new byte[0];
            synchronized (this) {
                switch (request.method()) {
                    case "PUT" -> status = request.body().length > MAX_BLOB_BYTES
                            ? 413
                            : !request.header("If-None-Match").isEmpty() && blobs.containsKey(name)
                                    ? 412
                                    : putBlob(name, request.body());
                    case "DELETE" -> status = blobs.remove(name) == null ? 404 : 200;
                    default -> {
                        byte[] found = blobs.get(name);
                        status = found == null ? 404 : 200;
                        raw = found == null ? new byte[0] : found;
                    }
                }
            }
        } else {
            if (path.equals("/v1/rows-tx")) {
                Thread.sleep(TX_MILLIS);
            }
            synchronized (this) {
                switch (path) {
                    case "/v1/rows-tx" -> status = transact(JSON.readTree(request.body()), request.body().length, answer);
                    case "/v1/rows-get" -> get(request, answer);
                    case "/v1/rows-parts" -> parts(request, answer);
                    case "/v1/rows-feed" -> status = feed(request, answer);
                    default -> status = 404;
                }
                answer.put("api_version", version).put("now_ms", System.nanoTime() / 1_000_000);
            }
        }
        if (!fault.after(request)) {
            return false;
        }
        connection.answer(
                status,
                Map.of("Content-Type", "application/json"),
                raw == null ? answer.toString().getBytes(StandardCharsets.UTF_8) : raw);
        return true;
    }

    private void executeLate(Http.Message request) {
        ModelServer.pause(1_000 + (long) (Math.random() * 5_000));
        synchronized (this) {
            try {
                String path = request.path();
                String name = path.substring(path.lastIndexOf('/') + 1);
                if (path.equals("/v1/rows-tx")) {
                    transact(JSON.readTree(request.body()), request.body().length, JSON.createObjectNode());
                } else if (request.method().equals("PUT")) {
                    blobs.putIfAbsent(name, request.body());
                } else if (request.method().equals("DELETE")) {
                    blobs.remove(name);
                }
            } catch (IOException exception) {
                throw new java.io.UncheckedIOException(exception);
            }
        }
    }

    private int putBlob(String name, byte[] body) {
        blobs.put(name, body);
        return 200;
    }

    private int transact(JsonNode transaction, int bytes, ObjectNode answer) {
        int entries = transaction.path("expected_rev").size()
                + transaction.path("put").size()
                + transaction.path("remove").size();
        if (bytes > MAX_BYTES || entries > MAX_ENTRIES) {
            return 413;
        }
        for (JsonNode row : transaction.path("put")) {
            String table = row.path("table_name").asText();
            if (table.equals("op") || table.equals("servers")) {
                return 403;
            }
            if (row.path("value").asText().length() > 65_536 * 4 / 3 + 4
                    || row.path("key").asText().getBytes(StandardCharsets.UTF_8).length > 200) {
                return 413;
            }
        }
        ArrayNode found = JSON.createArrayNode();
        boolean holds = true;
        for (JsonNode condition : transaction.path("expected_rev")) {
            ObjectNode row = rows.get(id(condition));
            long current = row == null ? 0 : row.path("api_version").asLong();
            holds &= current == condition.path("api_version").asLong();
            if (row != null) {
                found.add(row);
            }
        }
        if (!holds) {
            answer.set("rows", found);
            return 412;
        }
        long next = ++version;
        transaction.path("put").forEach(row -> put(((ObjectNode) row).deepCopy(), next));
        transaction.path("remove").forEach(row -> drop(((ObjectNode) row).deepCopy(), next));
        applied.accept(transaction);
        notifyAll();
        return 200;
    }

    private void get(Http.Message request, ObjectNode answer) {
        ArrayNode found = answer.putArray("rows");
        String prefix = request.query("table_name") + "\u0000" + request.query("part") + "\u0000";
        String to = request.query("to");
        String limitText = request.query("limit");
        int limit = Math.min(MAX_ROWS, limitText.isEmpty() ? MAX_ROWS : Integer.parseInt(limitText));
        int bytes = 0;
        boolean truncated = false;
        for (ObjectNode row : rows.tailMap(prefix + request.query("from"), true).values()) {
            if (!id(row).startsWith(prefix)) {
                break;
            }
            String key = row.path("key").asText();
            if (!to.isEmpty() && key.compareTo(to) >= 0) {
                break;
            }
            bytes += row.toString().length();
            if (found.size() == limit || (bytes > MAX_BYTES && !found.isEmpty())) {
                truncated = true;
                break;
            }
            found.add(row);
        }
        answer.put("truncated", truncated);
    }

    private void parts(Http.Message request, ObjectNode answer) {
        ArrayNode parts = answer.putArray("parts");
        String after = request.query("after");
        rows.values().stream()
                .filter(row -> row.path("table_name").asText().equals(request.query("table_name")))
                .map(row -> row.path("part").asText())
                .filter(part -> after.isEmpty() || part.compareTo(after) > 0)
                .distinct()
                .limit(1_000)
                .forEach(parts::add);
    }

    private int feed(Http.Message request, ObjectNode answer) throws InterruptedException {
        long after = Long.parseLong(request.query("after"));
        long end = System.nanoTime() + Long.parseLong(request.query("wait_ms")) * 1_000_000;
        ArrayNode changes = answer.putArray("rows");
        while (true) {
            if (after < historyStart) {
                return 410;
            }
            for (int index = firstAfter(after); index < history.size(); index++) {
                if (history.get(index).path("table_name").asText().equals(request.query("table_name"))) {
                    changes.add(history.get(index));
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!changes.isEmpty() || left <= 0) {
                return 200;
            }
            wait(left);
        }
    }

    private int firstAfter(long after) {
        int index = history.size();
        while (index > 0 && history.get(index - 1).path("api_version").asLong() > after) {
            index--;
        }
        return index;
    }

    private void put(ObjectNode row, long newVersion) {
        row.put("api_version", newVersion);
        rows.put(id(row), row);
        remember(row);
    }

    private void drop(ObjectNode row, long newVersion) {
        row.put("api_version", newVersion).put("tombstone", true);
        rows.remove(id(row));
        remember(row);
    }

    private void remember(ObjectNode row) {
        long now = System.nanoTime();
        history.add(row);
        historyTimes.add(now);
        int old = 0;
        while (now - historyTimes.get(old) > RETENTION_NANOS) {
            old++;
        }
        if (old > 100) {
            historyStart = history.get(old - 1).path("api_version").asLong();
            history.subList(0, old).clear();
            historyTimes.subList(0, old).clear();
        }
    }

    private static String id(JsonNode row) {
        return row.path("table_name").asText() + "\u0000" + row.path("part").asText() + "\u0000"
                + row.path("key").asText();
    }
}
