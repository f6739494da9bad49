package org.tanagermoor.session;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Runs commands, online requests and a batch job on separate processes and compares the transcript. */
class WholePathTest {

    private static final Pattern KEY_PATTERN = Pattern.compile("key: (\\S+)");

    private static final String ITEMS = """
            {"id":"a","repeatable":true,"body":{"prompt":"Draft order 1","max_tokens":4}}
            {"id":"b","repeatable":true,"body":{"prompt":"Draft order 2","max_tokens":4}}
            {"id":"c","repeatable":true,"body":{"prompt":"Draft order 3","max_tokens":4}}
            """;

    private final StringBuilder transcript = new StringBuilder();

    private final Fleet fleet = new Fleet();

    @AfterEach
    void close() {
        fleet.close();
    }

    @Test
    void servesOnlineAndBatchAsTheGoldenSessionSays() throws IOException {
        fleet.platform()
                .target("t1", "--token-millis", "1", "--first-token-millis", "1")
                .target("t2", "--token-millis", "1", "--first-token-millis", "1")
                .instance("north", "d1")
                .instance("south", "d2")
                .awaitInstances();
        runStep("service put " + Fleet.MODEL);
        runStep("target put t1 --service " + Fleet.MODEL + " --domain d1 --capacity 4 --cold-capacity 4 --address "
                + fleet.address("t1"));
        runStep("target put t2 --service " + Fleet.MODEL + " --domain d2 --capacity 4 --cold-capacity 4 --address "
                + fleet.address("t2"));
        runStep("team put alder --rate 100 --burst 100");
        giveKey();
        runStep("preset list");
        runStep("submit online --model " + Fleet.MODEL + " --max-tokens 4 Is_600x400_in_stock?");
        runStep("submit online --model unknown --max-tokens 4 hello");
        runStep(List.of("submit", "batch", "--job", "orders", "--service", Fleet.MODEL, "-"), ITEMS);
        fleet.runUntil("job status orders", result -> result.out().contains("state: done"));
        runStep("job results orders");
        runStep("domain out d1");
        runStep("domain list");
        runStep("submit online --model " + Fleet.MODEL + " --max-tokens 4 Still_there?");
        runStep("domain back d1");
        runStep("preset put peak --batch-share 0.25 --online-reserve 0.5");
        runStep("preset activate peak");
        runStep("preset activate unknown");
        withdrawKey();
        runStep("submit online --model " + Fleet.MODEL + " --max-tokens 4 hello");

        assertThat(normalize(transcript.toString()), is(readGolden()));
    }

    private void giveKey() {
        Fleet.Result result = fleet.runOrFail("key give alder");
        Matcher matcher = KEY_PATTERN.matcher(result.out());
        assertThat(result.out(), matcher.find(), is(true));
        fleet.useKey(matcher.group(1));
        appendStep("key give alder", result);
    }

    private void withdrawKey() {
        Matcher matcher = KEY_PATTERN.matcher(transcript);
        assertThat(matcher.find(), is(true));
        runStep(List.of("key", "withdraw"), matcher.group(1));
    }

    private void runStep(String commandLine) {
        runStep(List.of(commandLine.split(" ")), "");
    }

    private void runStep(List<String> toolArguments, String input) {
        appendStep(String.join(" ", toolArguments), fleet.run(toolArguments, input));
    }

    private void appendStep(String commandLine, Fleet.Result result) {
        transcript
                .append("$ ")
                .append(commandLine)
                .append('\n')
                .append(result.out())
                .append(result.err())
                .append("= ")
                .append(result.code())
                .append("\n\n");
    }

    private static String normalize(String text) {
        return text.replaceAll("127\\.0\\.0\\.1:\\d+", "<address>")
                .replaceAll("[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}", "<id>")
                .replaceAll("batch-[0-9a-f]{32}-\\d+-\\w+-\\d+", "<item>")
                .replaceAll("key: \\S+", "key: <key>")
                .replaceAll("version: \\d+", "version: <version>")
                .replaceAll("due: \\d+", "due: <due>");
    }

    private static String readGolden() throws IOException {
        try (InputStream stream = WholePathTest.class.getResourceAsStream("/golden/whole-path.txt")) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
