package org.tanagermoor.standin.target;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.tanagermoor.standin.target.Fault.Kind;
import org.tanagermoor.standin.target.Fault.Stage;

/** The endpoints by which a stand-in target is observed and made to fail. */
final class ControlEndpoints {

    /** The mapper. */
    private static final ObjectMapper MAPPER =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_TRAILING_TOKENS, true);

    /** The options. */
    private final TargetOptions options;

    /**
     * Creates endpoints.
     *
     * @param options The options.
     */
    ControlEndpoints(TargetOptions options) {
        this.options = options;
    }

    /**
     * Returns the load report.
     *
     * @param load The load as it was before the lag.
     * @return The report.
     */
    ObjectNode load(Engine.Load load) {
        return AnswerWriter.document()
                .put("start_mark", load.startMark())
                .put("running", load.running())
                .put("waiting", load.waiting())
                .put("capacity", load.capacity())
                .put("age_ms", options.loadLag().toMillis());
    }

    /**
     * Returns the cache events.
     *
     * @param events The events.
     * @return The document.
     */
    ObjectNode cacheEvents(List<PrefixCache.Event> events) {
        ObjectNode result = AnswerWriter.document();
        ArrayNode array = result.putArray("events");
        events.forEach(event -> array.addObject()
                .put("sequence", event.sequence())
                .put("prefix", event.prefix())
                .put("cached", event.cached()));
        return result;
    }

    /**
     * Returns the record of all requests.
     *
     * @param log The record.
     * @param startMark The mark of the last start.
     * @param orders The orders that were taken, in order.
     * @return The document.
     */
    ObjectNode record(ExecutionLog log, String startMark, List<JsonNode> orders) {
        ObjectNode result = AnswerWriter.document()
                .put("start_mark", startMark)
                .put("falls", log.falls())
                .put("most_while_cold", log.mostWhileCold());
        ArrayNode requests = result.putArray("requests");
        log.entries().forEach(entry -> {
            ObjectNode node = requests.addObject()
                    .put("id", entry.id())
                    .put("method", entry.method())
                    .put("path", entry.path())
                    .put("body", entry.body())
                    .put("state", entry.state().name().toLowerCase(Locale.ROOT))
                    .put("executed", entry.executed())
                    .put("tokens", entry.tokens());
            ObjectNode headers = node.putObject("headers");
            entry.headers().forEach(headers::put);
        });
        result.putArray("orders").addAll(orders);
        return result;
    }

    /**
     * Reads faults.
     *
     * @param document The document.
     * @return The faults in the order in which they strike.
     * @throws IllegalArgumentException If a kind or a stage is unknown.
     */
    static List<Fault> faults(JsonNode document) {
        List<Fault> result = new ArrayList<>();
        for (JsonNode node : document.path("faults")) {
            Fault fault = Fault.of(Kind.valueOf(name(node, "kind")), Stage.valueOf(name(node, "stage")));
            result.add(new Fault(
                    fault.kind(),
                    fault.stage(),
                    node.path("count").asInt(fault.count()),
                    node.path("after").asInt(fault.after()),
                    node.path("delay_ms").asLong(fault.delayMillis())));
        }
        return result;
    }

    /**
     * Reads a JSON document.
     *
     * @param body The bytes.
     * @return The document.
     * @throws IllegalArgumentException If the bytes are not JSON.
     */
    static JsonNode read(byte[] body) {
        try {
            return MAPPER.readTree(body);
        } catch (IOException exception) {
            throw new IllegalArgumentException(exception);
        }
    }

    /**
     * Returns the name of a constant.
     *
     * @param node The node.
     * @param field The field.
     * @return The name in upper case.
     */
    private static String name(JsonNode node, String field) {
        return node.path(field).asText().toUpperCase(Locale.ROOT);
    }
}
