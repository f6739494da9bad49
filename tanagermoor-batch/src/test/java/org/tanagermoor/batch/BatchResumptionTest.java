package org.tanagermoor.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagermoor.http.Json;

class BatchResumptionTest {

    private static final int ITEMS = 40;

    private static final int TOKENS = 20;

    private static final int CAPACITY = 6;

    private static final int RECALLS = 10;

    private static final int TOKENS_PER_RECALL = 40;

    @ParameterizedTest
    @CsvSource({"1, false", "1, true", "3, false", "3, true"})
    void resumesCancelledStreamsIfTheTargetKnowsThem(int count, boolean losesStreams) {
        FakeTargets targets = new FakeTargets(count, CAPACITY / count, 500, TOKENS);
        targets.losesStreams = losesStreams;
        targets.onToken = run -> {
            if (run % TOKENS_PER_RECALL == 0 && run / TOKENS_PER_RECALL <= RECALLS) {
                targets.recall();
            }
        };
        try (FakeFleet fleet = new FakeFleet(2, 16, Duration.ofSeconds(10), targets)) {
            fleet.send("job", FakeFleet.lines(ITEMS, 0));
            fleet.awaitEnd("job");
            List<String> lines = fleet.results("job");
            assertThat(lines, hasSize(ITEMS));
            for (int number = 0; number < ITEMS; number++) {
                JsonNode line = Json.read("test", lines.get(number).getBytes(StandardCharsets.UTF_8))
                        .get();
                assertThat(line.get("id").asText(), is("item-" + number));
                assertThat(line.get("outcome").asText(), is("completed"));
                assertThat(line.at("/body/choices/0/text").asText(), equalTo(targets.text(number)));
            }
            long repeatedTokens = targets.tokensRun.get() - ITEMS * TOKENS;
            if (losesStreams) {
                assertThat(repeatedTokens, greaterThan(0L));
            } else if (count == 1) {
                assertThat(
                        "one token of each run may be in transit at a recall",
                        repeatedTokens,
                        lessThanOrEqualTo((long) RECALLS * CAPACITY));
            }
        }
    }
}
