package org.tanagermoor.online;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.standin.target.ExecutionLog;
import org.tanagermoor.standin.target.Fault;
import org.tanagermoor.store.table.TableService;

/**
 * Guards against unintended changes of the protocol: replays the requests of a golden file and compares all bytes that
 * callers and targets receive. With {@code GOLDEN_UPDATE} set, the file is rewritten first.
 */
class GoldenSessionTest {

    private static final Path FILES = Path.of("src/test/resources/org/tanagermoor/online");
    private static final Pattern EXCHANGE =
            Pattern.compile("=== request\n(.*?)\n=== (?:fault (\\w+) (\\w+)\n=== )?answer\n", Pattern.DOTALL);
    private static final int TIMEOUT_MILLIS = 30_000;

    private final OnlineFixture fixture = new OnlineFixture(TableService.InMemory.of());

    @AfterEach
    void stop() {
        fixture.close();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"directory", "completion", "stream", "service", "refusals", "retry", "resumed", "idempotency"})
    void matchesTheGoldenSession(String name) throws Exception {
        fixture.addTarget("assistant");
        fixture.addTarget("assistant");
        Path file = FILES.resolve(name + ".session");
        String golden = Files.readString(file);
        String session = replay(golden);
        if (System.getenv("GOLDEN_UPDATE") != null) {
            Files.writeString(file, session);
        }
        assertThat(session, is(golden));
    }

    private String replay(String golden) throws IOException {
        StringBuilder session = new StringBuilder();
        Matcher matcher = EXCHANGE.matcher(golden);
        while (matcher.find()) {
            session.append("=== request\n").append(matcher.group(1)).append('\n');
            if (matcher.group(2) != null) {
                Fault fault = Fault.of(Fault.Kind.valueOf(matcher.group(2)), Fault.Stage.valueOf(matcher.group(3)));
                fixture.standIns.get(0).faults().replace(List.of(fault));
                session.append("=== fault " + fault.kind() + " " + fault.stage() + "\n");
            }
            session.append("=== answer\n").append(exchange(matcher.group(1))).append('\n');
        }
        return session.append(targets()).toString();
    }

    private String exchange(String request) throws IOException {
        int blank = request.indexOf("\n\n");
        String head = blank < 0 ? request : request.substring(0, blank);
        String body = blank < 0 ? "" : request.substring(blank + 2);
        String bytes = head.replace("\n", "\r\n") + "\r\ncontent-length: " + body.length()
                + "\r\nconnection: close\r\n\r\n" + body;
        try (Socket socket =
                new Socket(fixture.address().host(), fixture.address().port())) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            OutputStream output = socket.getOutputStream();
            output.write(bytes.getBytes(StandardCharsets.UTF_8));
            output.flush();
            return normalize(new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
        }
    }

    private String targets() {
        StringBuilder result = new StringBuilder();
        for (int index = 0; index < fixture.standIns.size(); index++) {
            result.append("=== target ").append(index).append('\n');
            for (ExecutionLog.Entry entry : fixture.standIns.get(index).log().entries()) {
                result.append(normalize(entry.method() + " " + entry.path() + " " + entry.state() + " "
                                + new java.util.TreeMap<>(entry.headers()) + " " + entry.body()))
                        .append('\n');
            }
        }
        return result.toString();
    }

    private static String normalize(String text) {
        return text.replace("\r\n", "\n")
                .replaceAll("entry~1-\\d+\\.\\d+", "<id>")
                .replaceAll("127\\.0\\.0\\.1:\\d+", "<address>")
                .replaceAll("ReactorNetty/[0-9.]+", "ReactorNetty");
    }
}
