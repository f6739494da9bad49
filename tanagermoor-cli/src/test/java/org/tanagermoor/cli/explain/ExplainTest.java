package org.tanagermoor.cli.explain;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.cli.ExitCode;
import org.tanagermoor.cli.Tool;
import org.tanagermoor.cli.command.ToolContext;

class ExplainTest {

    /** The logs of two instances; those of the second one have a prefix that a log collector adds. */
    private static final List<List<String>> LOGS = List.of(
            List.of(
                    "SLF4J: a line that is no event",
                    line(900, 0, "a", "TARGET_CHANGED", "target", "t-1", "state", "draining"),
                    line(
                            1_000,
                            0,
                            "a",
                            "REQUEST_REFUSED",
                            "request",
                            "r-1",
                            "kind",
                            "UNAVAILABLE",
                            "detail",
                            "OVERLOADED",
                            "retry-after-ms",
                            "3165",
                            "waited-ms",
                            "3"),
                    line(1_000, 1, "a", "REQUEST_PLACED", "request", "r-2", "target", "t-2", "waited-ms", "174"),
                    line(
                            1_900,
                            0,
                            "a",
                            "EXCHANGE_FAILED",
                            "request",
                            "r-2",
                            "target",
                            "t-2",
                            "detail",
                            "no event came for 1700 ms",
                            "may-have-run",
                            "true",
                            "attempts",
                            "1"),
                    line(
                            1_950,
                            0,
                            "a",
                            "REQUEST_ANSWERED",
                            "request",
                            "r-2",
                            "target",
                            "t-3",
                            "took-ms",
                            "950",
                            "attempts",
                            "2",
                            "runs",
                            "t-2:200:signed:0-4 t-3:200:signed:4-9",
                            "framed",
                            "false",
                            "reused",
                            "true",
                            "skipped-answers",
                            "1"),
                    line(2_000, 0, "a", "JOB_ACCEPTED", "request", "j-1", "owner", "a"),
                    line(2_100, 0, "a", "REQUEST_PLACED", "request", "i-1", "job", "j-1", "waited-ms", "0"),
                    line(
                            2_900,
                            0,
                            "a",
                            "ITEM_RUN_ENDED",
                            "request",
                            "i-1",
                            "job",
                            "j-1",
                            "end",
                            "RECALLED",
                            "detail",
                            "the place is needed by an online request"),
                    line(3_000, 0, "a", "JOB_HANDED_OVER", "job", "j-1"),
                    line(9_000, 0, "a", "REQUEST_PLACED", "request", "r-3", "target", "t-2", "waited-ms", "1")),
            List.of(
                    "  2.9 b| " + line(3_000, 1, "b", "JOB_TAKEN_OVER", "job", "j-1", "from", "a"),
                    "  2.9 b| " + line(3_000, 2, "b", "REQUEST_PLACED", "request", "i-2", "job", "j-1"),
                    "  3.1 b| " + line(3_100, 0, "b", "JOB_WRITE_FAILED", "job", "j-1", "step", "record"),
                    "  9.0 b| " + line(4_000, 0, "b", "ITEM_RUN_ENDED", "request", "i-1", "job", "j-1", "end", "DONE"),
                    "  9.0 b| "
                            + line(
                                    4_000,
                                    1,
                                    "b",
                                    "ITEM_ENDED",
                                    "request",
                                    "i-1",
                                    "job",
                                    "j-1",
                                    "completed",
                                    "true",
                                    "due-in-ms",
                                    "-1200",
                                    "waited-ms",
                                    "700",
                                    "ran-ms",
                                    "200",
                                    "idle-ms",
                                    "100"),
                    line(5_000, 0, "b", "JOB_ACCEPTED", "request", "j-2", "owner", "b~1"),
                    line(5_100, 0, "b", "PART_QUARANTINED", "part", "p-1", "source", "decision"),
                    line(
                            5_200,
                            0,
                            "b",
                            "ITEM_HELD_BACK",
                            "request",
                            "i-3",
                            "job",
                            "j-2",
                            "detail",
                            "part p-1 of the prompt: 3 targets crashed"),
                    trial(5_300, "TRIAL_STARTED", "p-1", "b~1", "7", ""),
                    line(5_301, 0, "b", "REQUEST_PLACED", "request", "i-3", "job", "j-2", "permit", "7"),
                    trial(5_400, "TRIAL_ENDED", "p-1", "b~1", "7", "CRASHED"),
                    line(5_401, 0, "b", "ITEM_RUN_ENDED", "request", "i-3", "job", "j-2", "end", "FAILED"),
                    trial(5_500, "TRIAL_STARTED", "p-1", "b~1", "8", ""),
                    trial(5_600, "TRIAL_STARTED", "p-2", "b~1", "9", ""),
                    waiting(10_401, "i-3", "PAUSED", "3", "QUARANTINED: part p-1", "t-1,t-2"),
                    waiting(10_402, "i-4", "ASKING", "12", "", ""),
                    line(10_500, 0, "b", "JOB_NOT_RUN", "job", "j-3", "reason", "its take-over has not ended"),
                    "{\"event\":\"LINES_DROPPED\",\"lines\":3}",
                    "{ no object"));

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @TempDir
    private Path directory;

    @BeforeEach
    void write() throws IOException {
        for (int index = 0; index < LOGS.size(); index++) {
            Files.write(directory.resolve("log-" + index), LOGS.get(index));
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "r-1 | Refused as UNAVAILABLE after 3 ms: the queue was longer than the request could wait.",
                "r-1 | a  TARGET_CHANGED  target=t-1 state=draining",
                "r-2 | Answered by t-3 after 950 ms, attempt 2.",
                "r-2 | t-2:200:signed:0-4 t-3:200:signed:4-9. Its end was told by the close of the connection, over a reused",
                "r-2 | Before that it failed at t-2: no event came for 1700 ms (may have run).",
                "r-2 | It waited 174 ms for a place.",
                "r-3 | No end is logged: the process ended, its log is missing, or the line was dropped.",
                "i-1 | Completed 1200 ms late. At its last owner it waited 700 ms for places, ran 200 ms,",
                "i-1 | Its runs ended as {DONE=1, RECALLED=1}.",
                "i-1 | b took its job over from a.",
                "i-2 | It has no result in these logs.",
                "i-3 | Held back for p-1, times: 1.",
                "i-3 | A trial of p-1, by this item of b~1 at t-7, ended as CRASHED after 100 ms.",
                "i-3 | A trial of p-1, by another request of b~1 at t-8, has no end in these logs.",
                "i-3 | At the end it had waited 5000 ms without a run at b, which ran its job: PAUSED, asks: 3, the last"
                        + " refusal: QUARANTINED: part p-1, excluded targets: t-1,t-2.",
                "i-4 | which ran its job: ASKING, asks: 12, the last refusal: none, excluded targets: none.",
                "j-3 | b should run its job and does not: its take-over has not ended.",
                "j-1 | Writes of its job that failed: 1."
            })
    void explainsTheOutcome(String id, String sentence) {
        assertThat(explain(id), is(ExitCode.DONE));
        assertThat(out.toString(StandardCharsets.UTF_8), containsString(sentence));
    }

    @Test
    void ordersTheLinesOfAllProcessesByCauseAndEffect() {
        explain("i-1");
        List<String> events = out.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.startsWith("*"))
                .map(line -> line.split(" {2}")[line.split(" {2}").length - 2])
                .toList();
        assertThat(
                events,
                is(List.of(
                        "JOB_ACCEPTED",
                        "REQUEST_PLACED",
                        "ITEM_RUN_ENDED",
                        "JOB_HANDED_OVER",
                        "JOB_TAKEN_OVER",
                        "JOB_WRITE_FAILED",
                        "ITEM_RUN_ENDED",
                        "ITEM_ENDED")));
    }

    @Test
    void leavesOutOtherRequests() {
        explain("r-1");
        assertThat(out.toString(StandardCharsets.UTF_8), not(containsString("r-2")));
    }

    @ParameterizedTest
    @CsvSource({"i-3, t-9", "i-4, TRIAL_STARTED", "i-4, PART_QUARANTINED"})
    void leavesOutTrialsOfOtherParts(String id, String other) {
        explain(id);
        assertThat(out.toString(StandardCharsets.UTF_8), not(containsString(other)));
    }

    @Test
    void printsJson() {
        assertThat(run(List.of("--json", "explain", "r-1", directory + "/log-0")), is(ExitCode.DONE));
        assertThat(out.toString(StandardCharsets.UTF_8), containsString("\"conclusion\":[\"Refused as UNAVAILABLE"));
    }

    @ParameterizedTest
    @CsvSource({
        "r-9, log-0, REFUSED, no line of 10 is about r-9",
        "r-1, nothing, USAGE, cannot read",
        "r-1, '', USAGE, name a request and the log files"
    })
    void reportsInvalidArguments(String id, String file, ExitCode code, String expectedError) {
        List<String> arguments = new ArrayList<>(List.of("explain", id));
        if (!file.isEmpty()) {
            arguments.add(directory.resolve(file).toString());
        }
        assertThat(run(arguments), is(code));
        assertThat(err.toString(StandardCharsets.UTF_8), containsString(expectedError));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "text", "{", "{\"event\":1,\"time\":2}", "{\"event\":\"X\"}", "[1]", "\u0000\uFFFF"})
    void ignoresTextThatIsNoEvent(String text) throws IOException {
        Path file = directory.resolve("other");
        Files.writeString(file, text + "\n" + line(1, 0, "a", "READY"));
        assertThat(Logs.EMPTY.with(file).lines().size(), is(1));
    }

    @Test
    void reportsTheNumberOfDroppedLines() {
        explain("i-1");
        assertThat(err.toString(StandardCharsets.UTF_8), containsString("left out 3 lines"));
    }

    private ExitCode explain(String id) {
        return run(List.of("explain", id, directory + "/log-1", directory + "/log-0"));
    }

    private ExitCode run(List<String> arguments) {
        return Tool.run(
                arguments,
                new ToolContext(
                        Map.of(),
                        new ByteArrayInputStream(new byte[0]),
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8)));
    }

    /** Returns a line on the trial of a part at the target that has the number of the permit. */
    private static String trial(long time, String event, String part, String holder, String permit, String outcome) {
        return line(
                time,
                0,
                "a",
                event,
                "part",
                part,
                "holder",
                holder,
                "permit",
                permit,
                "target",
                "t-" + permit,
                "outcome",
                outcome,
                "took-ms",
                "100");
    }

    /** Returns a line on an item of the second job that has waited for 5 s. */
    private static String waiting(long time, String item, String state, String asks, String refusal, String excluded) {
        return line(
                time,
                0,
                "b",
                "ITEM_WAITING",
                "request",
                item,
                "job",
                "j-2",
                "state",
                state,
                "waited-ms",
                "5000",
                "asks",
                asks,
                "refusal",
                refusal,
                "excluded",
                excluded);
    }

    private static String line(long time, int order, String process, String event, String... fields) {
        StringBuilder line = new StringBuilder("{\"time\":" + time + ",\"order\":" + order
                + ",\"level\":\"INFO\",\"process\":\"" + process + "\",\"event\":\"" + event + "\"");
        for (int index = 0; index < fields.length; index += 2) {
            line.append(",\"")
                    .append(fields[index])
                    .append("\":\"")
                    .append(fields[index + 1])
                    .append('"');
        }
        return line.append('}').toString();
    }
}
