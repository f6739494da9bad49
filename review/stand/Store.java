import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** A stand-in for the platform's store: rows, transactions, the change feed and objects, with their published limits. */
final class Store {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_BYTES = 1 << 20;
    private static final int MAX_ENTRIES = 100;
    private static final int MAX_ROWS = 500;
    private static final int ROW_BYTES = 65_536;
    private static final long CALL_MILLIS = 4;
    private static final long BLOB_MILLIS = 25;

    private final TreeMap<String, ObjectNode> rows = new TreeMap<>();
    private final List<ObjectNode> history = new ArrayList<>();
    private final Map<String, byte[]> objects = new HashMap<>();
    private final HttpServer server;
    private final Record record;
    private long version = 10;
    private volatile Trouble trouble = (path, body) -> Effect.NONE;

    /** What the store does with a call besides answering it. */
    enum Effect {
        /** Answers after the usual time. */
        NONE,
        /** Executes the call and closes the connection without an answer. */
        LOSE_ANSWER,
        /** Answers that nothing was done. */
        UNAVAILABLE,
        /** Executes the call and answers late. */
        SLOW
    }

    /** Decides what happens to a call. */
    interface Trouble {
        Effect effect(String path, JsonNode body);
    }

    Store(String ip, Record record) throws IOException {
        this.record = record;
        server = HttpServer.create(new InetSocketAddress(ip, 0), 256);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext("/", this::handle);
        server.start();
    }

    InetSocketAddress address() {
        return server.getAddress();
    }

    void trouble(Trouble value) {
        trouble = value;
    }

    /** Writes a row as the operator or a server does. */
    synchronized void write(String table, String key, String json) {
        ObjectNode row = JSON.createObjectNode().put("table_name", table).put("part", "").put("key", key);
        row.put("value", Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)));
        put(row, ++version);
        notifyAll();
    }

    /** Removes a row as the operator or a server does. */
    synchronized void remove(String table, String key) {
        drop(JSON.createObjectNode().put("table_name", table).put("part", "").put("key", key), ++version);
        notifyAll();
    }

    /** Returns the number of rows of a table whose key begins with a prefix. */
    synchronized long count(String table, String prefix) {
        return rows.values().stream()
                .filter(row -> row.path("table_name").asText().equals(table)
                        && row.path("key").asText().startsWith(prefix))
                .count();
    }

    /** Returns the decoded value of the first row of a table with a key; empty if there is none. */
    synchronized byte[] value(String table, String key) {
        return rows.values().stream()
                .filter(row -> row.path("table_name").asText().equals(table)
                        && row.path("key").asText().equals(key))
                .findFirst()
                .map(row -> Base64.getDecoder().decode(row.path("value").asText()))
                .orElse(new byte[0]);
    }

    private void handle(HttpExchange exchange) {
        try {
            byte[] body = exchange.getRequestBody().readAllBytes();
            String path = exchange.getRequestURI().getPath();
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            JsonNode json = path.equals("/v1/rows-tx") ? JSON.readTree(body) : JSON.createObjectNode();
            Effect effect = trouble.effect(path, json);
            if (effect == Effect.UNAVAILABLE) {
                answer(exchange, 503, new byte[0]);
                return;
            }
            Thread.sleep(path.startsWith("/v1/blob-") ? BLOB_MILLIS : CALL_MILLIS);
            if (path.startsWith("/v1/blob-")) {
                blob(exchange, path, body);
                return;
            }
            ObjectNode answer = JSON.createObjectNode();
            int status = rows(path, query, json, body.length, answer);
            if (effect == Effect.LOSE_ANSWER) {
                record.add("store: answer of %s lost, status was %d", path, status);
                exchange.close();
                return;
            }
            if (effect == Effect.SLOW) {
                Thread.sleep(900);
            }
            answer(exchange, status, answer.toString().getBytes(StandardCharsets.UTF_8));
        } catch (IOException exception) {
            exchange.close();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized int rows(String path, Map<String, String> query, JsonNode body, int size, ObjectNode answer)
            throws InterruptedException {
        int status = 200;
        switch (path) {
            case "/v1/rows-tx" -> status = transact(body, size, answer);
            case "/v1/rows-get" -> get(query, answer);
            case "/v1/rows-parts" -> parts(query, answer);
            case "/v1/rows-feed" -> feed(query, answer);
            default -> status = 404;
        }
        answer.put("api_version", version).put("now_ms", System.nanoTime() / 1_000_000);
        return status;
    }

    private int transact(JsonNode body, int size, ObjectNode answer) {
        int entries = body.path("expected_rev").size() + body.path("put").size() + body.path("remove").size();
        boolean tooLong = false;
        for (JsonNode put : body.path("put")) {
            tooLong |= put.path("value").asText().length() > ROW_BYTES;
        }
        if (size > MAX_BYTES || entries > MAX_ENTRIES || tooLong) {
            record.add("store: refused a transaction of %d bytes with %d entries", size, entries);
            return 413;
        }
        ArrayNode found = JSON.createArrayNode();
        boolean holds = true;
        for (JsonNode condition : body.path("expected_rev")) {
            ObjectNode row = rows.get(id(condition));
            holds &= (row == null ? 0 : row.path("api_version").asLong())
                    == condition.path("api_version").asLong();
            if (row != null) {
                found.add(row);
            }
        }
        if (!holds) {
            answer.set("rows", found);
            return 412;
        }
        long next = ++version;
        body.path("put").forEach(row -> put(((ObjectNode) row).deepCopy(), next));
        body.path("remove").forEach(row -> drop(((ObjectNode) row).deepCopy(), next));
        notifyAll();
        return 200;
    }

    private void get(Map<String, String> query, ObjectNode answer) {
        ArrayNode found = answer.putArray("rows");
        String to = query.getOrDefault("to", "");
        String prefix = query.get("table_name") + "\u0000" + query.getOrDefault("part", "") + "\u0000";
        int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("limit", "500")));
        int bytes = 0;
        boolean truncated = false;
        for (Map.Entry<String, ObjectNode> entry :
                rows.tailMap(prefix + query.getOrDefault("from", ""), true).entrySet()) {
            String key = entry.getValue().path("key").asText();
            if (!entry.getKey().startsWith(prefix) || (!to.isEmpty() && key.compareTo(to) >= 0)) {
                break;
            }
            int size = entry.getValue().path("value").asText().length() + key.length() + 100;
            if (found.size() >= limit || bytes + size > MAX_BYTES) {
                truncated = true;
                break;
            }
            bytes += size;
            found.add(entry.getValue());
        }
        answer.put("truncated", truncated);
    }

    private void parts(Map<String, String> query, ObjectNode answer) {
        ArrayNode parts = answer.putArray("parts");
        rows.values().stream()
                .filter(row -> row.path("table_name").asText().equals(query.get("table_name")))
                .map(row -> row.path("part").asText())
                .distinct()
                .forEach(parts::add);
    }

    private void feed(Map<String, String> query, ObjectNode answer) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        ArrayNode changes = answer.putArray("rows");
        while (true) {
            for (int index = history.size() - 1; index >= 0; index--) {
                ObjectNode row = history.get(index);
                if (row.path("api_version").asLong() <= after) {
                    break;
                }
                if (row.path("table_name").asText().equals(query.get("table_name"))) {
                    changes.insert(0, row);
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!changes.isEmpty() || left <= 0) {
                return;
            }
            wait(left);
        }
    }

    private void blob(HttpExchange exchange, String path, byte[] body) throws IOException {
        String name = path.substring(path.lastIndexOf('/') + 1);
        byte[] found;
        int status = 200;
        synchronized (this) {
            found = objects.get(name);
            if (exchange.getRequestMethod().equals("PUT")) {
                boolean create = exchange.getRequestHeaders().containsKey("If-None-Match");
                status = create && found != null ? 412 : 200;
                if (status == 200) {
                    objects.put(name, body);
                }
                found = null;
            } else if (exchange.getRequestMethod().equals("DELETE")) {
                objects.remove(name);
                found = null;
            } else if (found == null) {
                status = 404;
            }
        }
        answer(exchange, status, found == null ? new byte[0] : found);
    }

    private void put(ObjectNode row, long newVersion) {
        row.put("api_version", newVersion);
        rows.put(id(row), row);
        history.add(row);
    }

    private void drop(ObjectNode row, long newVersion) {
        row.put("api_version", newVersion).put("tombstone", true);
        rows.remove(id(row));
        history.add(row);
    }

    private static String id(JsonNode row) {
        return row.path("table_name").asText() + "\u0000" + row.path("part").asText() + "\u0000"
                + row.path("key").asText();
    }

    private static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> result = new HashMap<>();
        if (raw != null) {
            for (String part : raw.split("&")) {
                int equals = part.indexOf('=');
                result.put(
                        part.substring(0, equals),
                        URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return result;
    }
}
