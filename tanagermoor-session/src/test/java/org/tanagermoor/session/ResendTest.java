package org.tanagermoor.session;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tanagermoor.cli.ExitCode;
import org.tanagermoor.http.Json;

/** Tests calls and jobs that are sent again to another instance after the first one was killed. */
class ResendTest {

    private static final int ITEM_COUNT = 24;

    private static final long DEADLINE_MILLIS = 10_000;

    private static final String SERVICE_PATH = "/services/orders/take";

    private static final String ORDER_BODY = "an order with a key";

    private final Http http = new Http();

    private Fleet fleet = new Fleet();

    @AfterEach
    void close() {
        fleet.close();
    }

    /** One kill affects both: the call has been executed but not answered, and the job has just been acknowledged. */
    @Test
    void aResentCallRunsAtMostOnceAndAResentJobIsTheSame() {
        fleet = Fleet.startServing("1000", "--first-token-millis", "15");
        fleet.runOrFail("service put orders --kind plain --not-idempotent");
        fleet.runOrFail("target put o1 --service orders --domain d1 --capacity 16 --cold-capacity 16 --address "
                + fleet.address("t1"));
        http.put(fleet.address("t1"), "/faults", "{\"faults\":[{\"kind\":\"silence\",\"stage\":\"executed\"}]}");
        http.callWithIdempotencyKey(fleet.address("e1"), fleet.key(), SERVICE_PATH, ORDER_BODY, DEADLINE_MILLIS);
        fleet.await("the call is executed", () -> executions(ORDER_BODY) == 1);
        Fleet.Result acknowledged = submit("e1", items("sheet"));
        assertThat(acknowledged.toString(), acknowledged.code(), is(ExitCode.DONE));

        fleet.process("e1").kill();
        fleet.excludeInstance("e1");

        Fleet.Result[] resent = new Fleet.Result[1];
        fleet.await("the resend is acknowledged", () -> {
            resent[0] = submit("e2", items("sheet"));
            return resent[0].code() == ExitCode.DONE;
        });
        assertThat(resent[0].out(), is(acknowledged.out()));
        assertThat(submit("e3", items("other")).err(), containsString("CONFLICT"));
        for (String name : List.of("e2", "e3", "e2")) {
            HttpResponse<String> response = http.callWithIdempotencyKey(
                            fleet.address(name), fleet.key(), SERVICE_PATH, ORDER_BODY, DEADLINE_MILLIS)
                    .join();
            assertThat(response.body(), response.statusCode(), is(409));
            assertThat(response.body(), containsString("\"run\":\"unknown\""));
        }
        assertThat(executions(ORDER_BODY), is(1));
        assertOneOutcomePerItem();
    }

    private void assertOneOutcomePerItem() {
        fleet.runUntil("job status night", result -> result.out().contains("state: done"));
        List<String> ids = new ArrayList<>();
        for (String line : fleet.runOrFail("job results night").out().lines().toList()) {
            JsonNode result =
                    Json.read("result", line.getBytes(StandardCharsets.UTF_8)).get();
            int index = ids.size();
            ids.add(result.path("id").asText());
            assertThat(line, result.path("id").asText(), is("i" + index));
            if (index % 4 == 0) {
                assertThat(line, executions("sheet " + index + "."), lessThanOrEqualTo(1));
            } else {
                assertThat(line, result.path("outcome").asText(), is("completed"));
            }
        }
        assertThat(ids.size(), is(ITEM_COUNT));
        assertThat(
                fleet.runOrFail("job list")
                        .out()
                        .lines()
                        .filter(line -> line.contains("night"))
                        .count(),
                is(1L));
    }

    private Fleet.Result submit(String instance, String items) {
        return fleet.run(
                List.of(
                        "--instances",
                        fleet.address(instance),
                        "submit",
                        "batch",
                        "--job",
                        "night",
                        "--service",
                        Fleet.MODEL,
                        "-"),
                items);
    }

    private static String items(String prompt) {
        StringBuilder items = new StringBuilder();
        for (int index = 0; index < ITEM_COUNT; index++) {
            items.append("{\"id\":\"i%d\",\"repeatable\":%b,\"body\":{\"prompt\":\"%s %d.\",\"max_tokens\":2}}%n"
                    .formatted(index, index % 4 != 0, prompt, index));
        }
        return items.toString();
    }

    /** Returns the number of recorded executions whose request body contains a text. */
    private int executions(String text) {
        int count = 0;
        for (String target : List.of("t1", "t2", "t3")) {
            for (JsonNode request : http.get(fleet.address(target), "/record").path("requests")) {
                boolean matches = request.path("body").asText().contains(text);
                count += matches && request.path("executed").asBoolean() ? 1 : 0;
            }
        }
        return count;
    }
}
