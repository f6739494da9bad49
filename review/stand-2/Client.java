import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What a client of the platform sends. */
final class Client {

    final String host;
    final String key;
    final Journal journal;

    Client(Journal journal, String host, String key) {
        this.journal = journal;
        this.host = host;
        this.key = key;
    }

    Map<String, String> headers(String id) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", host);
        headers.put("Authorization", "Bearer " + key);
        if (!id.isEmpty()) {
            headers.put("X-Request-Id", id);
        }
        return headers;
    }

    /** Returns the body of a batch job with items whose bodies have a number of bytes. */
    static byte[] job(String prefix, List<String> items, int bodyBytes, int tokens) {
        ObjectNode body = Store.JSON.createObjectNode();
        ArrayNode requests = body.putArray("requests");
        for (String item : items) {
            ObjectNode request = requests.addObject();
            request.put("id", item).put("path", prefix + "i/" + item);
            request.putObject("headers")
                    .put("X-Model", "m")
                    .put("X-Token-Count", "350,221")
                    .put("X-Prompt-Prefix", "9c2e41:100," + item + ":250");
            request.put("body", Base64.getEncoder().encodeToString(itemBody(item, bodyBytes)));
            request.put("tokens", tokens);
        }
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }

    static byte[] itemBody(String item, int bytes) {
        byte[] body = new byte[bytes];
        byte[] name = item.getBytes(StandardCharsets.UTF_8);
        for (int index = 0; index < bytes; index++) {
            body[index] = name[index % name.length];
        }
        return body;
    }

    /** Submits a job; returns the status, or 0 if there was no answer. */
    int submit(int port, String prefix, String job, byte[] body, int millis) {
        Map<String, String> headers = headers(job);
        headers.put("Content-Type", "application/json");
        journal.record("submit", job, ":" + port, body.length + " bytes");
        return status("submitted", job, port, "POST", prefix + job, headers, body, millis);
    }

    int end(int port, String job, int millis) {
        journal.record("end", job, ":" + port, "");
        return status("ended-job", job, port, "DELETE", "/v1/lots/" + job, headers(""), null, millis);
    }

    private int status(
            String what, String job, int port, String method, String target, Map<String, String> headers, byte[] body, int millis) {
        try {
            Http.Message answer = Http.call(port, method, target, headers, body, millis);
            journal.record(what, job, ":" + port, answer.line() + " " + (answer.status() < 300 ? "" : answer.text()));
            return answer.status();
        } catch (IOException exception) {
            journal.record(what, job, ":" + port, "no answer: " + exception);
            return 0;
        }
    }

    /** Reads results of a job; null if there was no answer with status 200. */
    JsonNode results(int port, String job, int after, int waitMillis) {
        Map<String, String> headers = headers("");
        headers.put("X-Wait-Ms", Integer.toString(waitMillis));
        try {
            Http.Message answer =
                    Http.call(port, "GET", "/v1/lots/" + job + "?after=" + after, headers, null, waitMillis + 2_500);
            journal.record("results", job, ":" + port, "after " + after + ": " + answer.line());
            return answer.status() == 200 ? Store.JSON.readTree(answer.body()) : null;
        } catch (IOException exception) {
            journal.record("results", job, ":" + port, "no answer: " + exception);
            return null;
        }
    }
}
