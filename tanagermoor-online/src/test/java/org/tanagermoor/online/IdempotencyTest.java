package org.tanagermoor.online;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.oneOf;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.tanagermoor.standin.target.Fault;

/**
 * Guards against a second execution of a request that is resent with the same idempotency key through any instance,
 * also after a fault, a lost answer of the table or while resends run concurrently.
 */
class IdempotencyTest {

    private static final int RESENDS = 20;

    private final FakeTable table = new FakeTable();
    private final OnlineFixture first = new OnlineFixture(table);
    private final OnlineFixture second = new OnlineFixture("other", table);

    @BeforeEach
    void start() {
        first.addTarget("drafts");
        second.targets.targets.addAll(first.targets.targets);
    }

    @AfterEach
    void stop() {
        first.close();
        second.close();
    }

    @Test
    void givesTheSameAnswerThroughAnotherInstance() throws Exception {
        OnlineFixture.Answer answer = first.send(call(first, "/counter/a"));
        assertThat(second.send(call(second, "/counter/a")), is(answer));
        assertThat(answer.status(), is(200));
        assertThat(first.executions(), is(1L));
    }

    @ParameterizedTest
    @EnumSource(
            value = Fault.Stage.class,
            names = {"RECEIVED", "EXECUTED", "STREAM", "LAST"})
    void refusesAResendWhoseOutcomeIsUnknown(Fault.Stage stage) throws Exception {
        first.standIns.get(0).faults().replace(List.of(Fault.of(Fault.Kind.RESET, stage)));
        assertThat(summary(first.send(call(first, "/counter/a"))), is("503 unknown"));
        assertThat(summary(second.send(call(second, "/counter/a"))), is("409 unknown"));
        assertThat(first.executions(), is(stage == Fault.Stage.RECEIVED ? 0L : 1L));
    }

    @Test
    void refusesAnotherRequestWithTheSameKey() throws Exception {
        first.send(call(first, "/counter/a"));
        assertThat(summary(second.send(call(second, "/counter/b"))), is("409 no"));
        assertThat(first.executions(), is(1L));
    }

    @Test
    void runsNothingWhileTheStoreIsDown() throws Exception {
        table.mode = FakeTable.Mode.DOWN;
        assertThat(summary(first.send(call(first, "/counter/a"))), is("503 no"));
        table.mode = FakeTable.Mode.UP;
        assertThat(first.executions(), is(0L));
        assertThat(second.send(call(second, "/counter/a")).status(), is(200));
    }

    @Test
    void readsTheRecordAfterItsCommitAnswerWasLost() throws Exception {
        table.mode = FakeTable.Mode.LOSES_ANSWERS;
        OnlineFixture.Answer answer = first.send(call(first, "/counter/a"));
        assertThat(answer.status(), is(200));
        assertThat(second.send(call(second, "/counter/a")), is(answer));
        assertThat(first.executions(), is(1L));
    }

    @Test
    void runsAResendOfARequestThatWasNotRun() throws Exception {
        first.targets.targets.clear();
        assertThat(summary(first.send(call(first, "/counter/a"))), is("503 no"));
        assertThat(second.send(call(second, "/counter/a")).status(), is(200));
        assertThat(first.executions(), is(1L));
    }

    @Test
    void doesNotKeepStreams() throws Exception {
        assertThat(first.send(stream(first)).status(), is(200));
        assertThat(summary(second.send(stream(second))), is("409 unknown"));
        assertThat(first.executions(), is(1L));
    }

    @Test
    void runsOneOfManyConcurrentResends() throws Exception {
        List<CompletableFuture<HttpResponse<String>>> sent = new ArrayList<>();
        for (int resend = 0; resend < RESENDS; resend++) {
            OnlineFixture instance = resend % 2 == 0 ? first : second;
            sent.add(instance.client().sendAsync(call(instance, "/counter/a"), HttpResponse.BodyHandlers.ofString()));
        }
        Set<Integer> statuses = new TreeSet<>();
        Set<String> completeAnswers = new TreeSet<>();
        for (CompletableFuture<HttpResponse<String>> future : sent) {
            HttpResponse<String> answer = future.get();
            statuses.add(answer.statusCode());
            if (answer.statusCode() == 200) {
                completeAnswers.add(answer.body());
            }
        }
        assertThat(statuses, everyItem(is(oneOf(200, 409))));
        assertThat(completeAnswers.size(), is(1));
        assertThat(first.executions(), is(1L));
    }

    private static HttpRequest call(OnlineFixture fixture, String path) {
        return fixture.call("invoices", path, "idempotency-key", "one");
    }

    private static HttpRequest stream(OnlineFixture fixture) {
        return fixture.completion("drafts", true, 2, "idempotency-key", "one");
    }

    private static String summary(OnlineFixture.Answer answer) {
        return answer.status() + " " + answer.run();
    }
}
