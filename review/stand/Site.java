import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntUnaryOperator;

/** A small deployment: a store, model servers, instances, and the calls of clients. */
final class Site implements AutoCloseable {

    static final String HOST = "shop.example";
    static final String KEY = "i9n73hh2b9wu3fexd9dn";
    static final ObjectMapper JSON = new ObjectMapper();
    private static final long MAX_DURATION_MILLIS = 115_000;

    /** Whether the disruption takes place. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    final Record record;
    final Store store;
    final Fleet fleet;
    final List<ModelServer> servers = new ArrayList<>();
    final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    Site(Path folder, int instances, int zones) throws IOException {
        record = new Record(folder);
        store = new Store("127.0.0.1", record);
        fleet = new Fleet(record, store, instances, zones);
        record.add("trouble: %s", TROUBLE);
        Thread.ofPlatform().daemon().start(this::limitDuration);
    }

    /** Ends a case that takes too long as one that could not run. */
    private void limitDuration() {
        ModelServer.sleep(MAX_DURATION_MILLIS);
        record.add("the case took longer than %d ms", MAX_DURATION_MILLIS);
        fleet.close();
        Runtime.getRuntime().halt(2);
    }

    /** Writes the configuration: a stream route and a batch route of one service, and one tenant. */
    void configure(int completionMillis, int queueSeconds, int attempts) {
        store.write(
                "op",
                "config",
                "{\"version\":7,\"routes\":["
                        + "{\"name\":\"r-online\",\"host\":\"" + HOST + "\",\"prefix\":\"/ask/\",\"route_type\":\"streaming\","
                        + "\"timeout_ms\":5000,\"target_latency_ms\":300,\"priority\":0,\"service\":\"assist\",\"attempts\":1,"
                        + "\"public\":false,\"sticky_sessions\":true,\"can_resume\":false,\"gap_target_ms\":400},"
                        + "{\"name\":\"r-batch\",\"host\":\"" + HOST + "\",\"prefix\":\"/draft/\",\"route_type\":\"batch\","
                        + "\"timeout_ms\":15000,\"target_latency_ms\":400,\"priority\":2,\"service\":\"assist\",\"attempts\":"
                        + attempts + ",\"public\":false,\"sticky_sessions\":true,\"can_resume\":true,"
                        + "\"completion_target_ms\":" + completionMillis + ",\"max_queue_s\":" + queueSeconds
                        + ",\"max_count\":780000}],"
                        + "\"services\":[{\"name\":\"assist\",\"health_path\":\"/healthz\",\"max_conns\":620,\"protocol\":\"h1\","
                        + "\"tls\":false,\"warmup_s\":3.0,\"warmup_per_s\":47.0}],"
                        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                        + "\"idle_timeout_ms\":15000},"
                        + "\"tenants\":[{\"name\":\"kaje80\",\"api_keys\":[\"" + KEY
                        + "\"],\"priority\":1,\"rate_per_s\":0,\"burst\":0}]}");
    }

    /** Starts a model server. */
    ModelServer server(String id, int zone, int capacity, ModelServer.Output output, ModelServer.Pace pace)
            throws IOException {
        ModelServer server = new ModelServer(
                id, "zone-" + (char) ('a' + zone), "127.0.0.1", capacity, store, record, runs, output, pace);
        servers.add(server);
        return server;
    }

    /** Returns a random identity. */
    static String id() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    static Map<String, String> headers(String id) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("Authorization", "Bearer " + KEY);
        if (!id.isEmpty()) {
            headers.put("X-Request-Id", id);
        }
        return headers;
    }

    /** Returns the headers of an online request. */
    static Map<String, String> online(String id, int outputTokens, int deadlineMillis) {
        Map<String, String> headers = headers(id);
        headers.put("X-Model", "m");
        headers.put("X-Token-Count", "450," + outputTokens);
        headers.put("X-Prompt-Prefix", "5c1e07a2:200," + id.substring(0, 8) + ":250");
        headers.put("X-Deadline-Ms", Integer.toString(deadlineMillis));
        return headers;
    }

    /** Returns the body of a batch job. */
    static byte[] job(List<String> items, int outputTokens) {
        return job(items, number -> outputTokens);
    }

    /** Returns the body of a batch job whose items may have outputs of different length. */
    static byte[] job(List<String> items, IntUnaryOperator outputTokensByNumber) {
        ObjectNode job = JSON.createObjectNode();
        ArrayNode requests = job.putArray("requests");
        for (int number = 0; number < items.size(); number++) {
            String item = items.get(number);
            int outputTokens = outputTokensByNumber.applyAsInt(number);
            ObjectNode request = requests.addObject().put("id", item).put("path", "/draft/3/" + item);
            request.putObject("headers")
                    .put("X-Model", "m")
                    .put("X-Token-Count", "350," + outputTokens)
                    .put("X-Prompt-Prefix", "9c2e41:100," + item.substring(0, 8) + ":250");
            request.put("body", Base64.getEncoder().encodeToString(("sheet " + item).getBytes()))
                    .put("tokens", 350 + outputTokens);
        }
        return job.toString().getBytes();
    }

    /** Submits a batch job to an instance. */
    Http.Answer submit(Fleet.Instance instance, String job, byte[] body) {
        Http.Answer answer = Http.send(instance.front(), "POST", "/draft/" + job, headers(job), body, 4_000);
        record.add("client: job %s handed in at %s: %d %s", job, instance.name, answer.status(), answer.error());
        return answer;
    }

    /** Reads the results of a batch job from a position on. */
    Http.Answer results(InetSocketAddress front, String job, int after) {
        Map<String, String> headers = headers("");
        headers.put("X-Wait-Ms", "1000");
        return Http.send(front, "GET", "/v1/lots/" + job + "?after=" + after, headers, new byte[0], 4_000);
    }

    /**
     * Reads all listed results of a batch job, each page at the next of the given instances.
     *
     * @return The states by item; empty if a page cannot be read.
     */
    Map<String, String> listed(List<Fleet.Instance> readers, String job) throws IOException {
        Map<String, String> states = new LinkedHashMap<>();
        int next = 0;
        for (int page = 0; page < 400; page++) {
            Http.Answer answer = results(readers.get(page % readers.size()).front(), job, next);
            if (answer.status() != 200) {
                record.add("client: job %s read from %d: %d %s", job, next, answer.status(), answer.error());
                ModelServer.sleep(300);
                continue;
            }
            JsonNode json = json(answer);
            for (JsonNode result : json.path("results")) {
                states.put(
                        result.path("id").asText(),
                        result.path("state").asText() + " " + result.path("output").asText().length());
            }
            if (json.path("next").asInt() == next) {
                break;
            }
            next = json.path("next").asInt();
        }
        return states;
    }

    /** Returns how many of a list of items a server is running. */
    long running(List<String> items) {
        return servers.stream()
                .flatMap(server -> server.running.stream())
                .filter(items::contains)
                .count();
    }

    /** Returns the instance that owns a job, as the store's row names it; null if none is named. */
    Fleet.Instance owner(String job) {
        String row = new String(store.value("jobs", job), java.nio.charset.StandardCharsets.ISO_8859_1);
        return fleet.instances().stream()
                .filter(instance -> row.contains(instance.name + "~"))
                .findFirst()
                .orElse(null);
    }

    static JsonNode json(Http.Answer answer) throws IOException {
        return JSON.readTree(answer.body());
    }

    @Override
    public void close() {
        fleet.close();
    }
}
