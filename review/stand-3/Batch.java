package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.Map;

/** A client of batch jobs. Each call uses a new connection. */
public final class Batch {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final Log log;

    private final String host;

    private final String prefix;

    private final String key;

    public Batch(Log log, String host, String prefix, String key) {
        this.log = log;
        this.host = host;
        this.prefix = prefix;
        this.key = key;
    }

    private Map<String, String> headers() {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", host);
        headers.put("Authorization", "Bearer " + key);
        headers.put("Connection", "close");
        return headers;
    }

    /** Returns the identity of an item. */
    public static String item(String job, int number) {
        return job + String.format("%04x", number);
    }

    /** Submits a job whose items have identities that no other job has; returns the status, 0 if no answer came. */
    public int submit(int port, String job, int items) {
        return submit(port, job, java.util.stream.IntStream.range(0, items)
                .mapToObj(number -> item(job, number))
                .toList());
    }

    /** Returns the body of an item. */
    public static String body(String job, String item) {
        return "the body of item " + item + " of job " + job;
    }

    /** Submits a job; returns the status, 0 if no answer came. */
    public int submit(int port, String job, java.util.List<String> items) {
        ObjectNode body = JSON.createObjectNode();
        ArrayNode requests = body.putArray("requests");
        for (String id : items) {
            ObjectNode item = requests.addObject().put("id", id).put("path", prefix + "run/" + job + "/" + id);
            item.putObject("headers")
                    .put("X-Model", "m")
                    .put("X-Token-Count", "350,40")
                    .put("X-Prompt-Prefix", "5c1e07a2:100," + job + id + ":250");
            item.put("body", Base64.getEncoder().encodeToString(body(job, id).getBytes(StandardCharsets.UTF_8)));
            item.put("tokens", 390);
        }
        Map<String, String> headers = headers();
        headers.put("X-Request-Id", job);
        headers.put("Content-Type", "application/json");
        int status = Http.call(
                        port, "POST", prefix + job, headers, body.toString().getBytes(StandardCharsets.UTF_8), 6_000)
                .status();
        log.line("job " + job + " with " + items.size() + " items sent to port " + port + ": " + status);
        return status;
    }

    /** Reads results; the node is null unless the answer is 200. */
    public JsonNode results(int port, String job, int after) {
        Map<String, String> headers = headers();
        headers.put("X-Wait-Ms", "1000");
        Http.Answer answer = Http.call(port, "GET", "/v1/lots/" + job + "?after=" + after, headers, new byte[0], 6_000);
        if (answer.status() != 200 || !answer.complete()) {
            log.line("results of " + job + " after " + after + ": status " + answer.status());
            return null;
        }
        try {
            JsonNode page = JSON.readTree(answer.body());
            log.line("results of " + job + " after " + after + ": " + page.path("results").size() + ", next "
                    + page.path("next").asInt() + " of " + page.path("total").asInt());
            return page;
        } catch (IOException exception) {
            log.line("results of " + job + " after " + after + ": no JSON");
            return null;
        }
    }

    /** Ends a job; returns the status. */
    public int end(int port, String job) {
        int status = Http.call(port, "DELETE", "/v1/lots/" + job, headers(), new byte[0], 6_000)
                .status();
        log.line("end of job " + job + " sent to port " + port + ": " + status);
        return status;
    }

    /** A reader of a job, which goes on after the last result that it has read. */
    public final class Reader {

        private final String job;

        /** The identities of the results that were read, in the order of their positions. */
        public final java.util.List<String> items = new java.util.ArrayList<>();

        /** The states of these results. */
        public final java.util.List<String> states = new java.util.ArrayList<>();

        /** The outputs of these results. */
        public final java.util.List<String> outputs = new java.util.ArrayList<>();

        public Reader(String job) {
            this.job = job;
        }

        /** Returns the identity of the job. */
        public String name() {
            return job;
        }

        /** Reads what is new; returns whether an answer came. */
        public boolean read(int port) {
            JsonNode page = results(port, job, items.size());
            if (page == null) {
                return false;
            }
            for (JsonNode result : page.path("results")) {
                items.add(result.path("id").asText());
                states.add(result.path("state").asText());
                outputs.add(result.path("output").asText());
            }
            return true;
        }
    }
}
