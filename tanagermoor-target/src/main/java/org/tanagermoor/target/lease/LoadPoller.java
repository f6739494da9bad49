package org.tanagermoor.target.lease;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.policy.configuration.Target;
import org.tanagermoor.policy.target.LoadReport;
import org.tanagermoor.target.TargetEvent;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Requests reports of load from targets. */
final class LoadPoller {

    /** The maximum time to wait for a report. */
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client = HttpClient.create().responseTimeout(TIMEOUT);

    private final EventLog events;

    private final TimeSource time;

    /** Queues a report for the duty. */
    private final Consumer<LeaseMessage> duty;

    LoadPoller(EventLog events, TimeSource time, Consumer<LeaseMessage> duty) {
        this.events = events;
        this.time = time;
        this.duty = duty;
    }

    /** Requests the load of a target. The duty receives a message only if the target returns a report. */
    void poll(Target target) {
        long requestedAt = time.nanos();
        client.remoteAddress(target.address()::toSocketAddress)
                .get()
                .uri("/load")
                .responseSingle((response, body) -> response.status().code() == 200 ? body.asByteArray() : Mono.empty())
                .timeout(TIMEOUT)
                .subscribe(bytes -> processReport(target, bytes, requestedAt), error -> recordFailure(target, error));
    }

    /**
     * Parses a report and passes it to the duty.
     *
     * @param requestedAt The monotonic time in nanoseconds at which the report was requested.
     */
    private void processReport(Target target, byte[] bytes, long requestedAt) {
        try {
            JsonNode json = MAPPER.readTree(bytes);
            LoadReport load = new LoadReport(
                    json.path("start_mark").asText(""),
                    json.path("running").asInt(0),
                    json.path("waiting").asInt(0),
                    json.path("capacity").asInt(0));
            long age = TimeUnit.MILLISECONDS.toNanos(json.path("age_ms").asLong(0));
            duty.accept(new LeaseMessage.Loaded(target.id(), load, requestedAt - age));
        } catch (IOException exception) {
            recordFailure(target, exception);
        }
    }

    /** Logs that a target returned no usable report. */
    private void recordFailure(Target target, Throwable error) {
        events.record(TargetEvent.LOAD_UNKNOWN, "target", target.id(), "reason", error.toString());
    }
}
