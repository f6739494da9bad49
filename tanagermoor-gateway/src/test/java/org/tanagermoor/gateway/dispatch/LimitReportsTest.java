package org.tanagermoor.gateway.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.tanagermoor.kernel.event.EventLog;

/** Guards against a dispatcher that does not learn of a request limit, its change or its end. */
final class LimitReportsTest {

    private final LimitReports reports = LimitReports.of(new EventLog.Disabled());

    private long now = TimeUnit.SECONDS.toNanos(1_000);

    /** Answers of targets without limits must cost no message. */
    @Test
    void reportsNothingOfTargetsWithoutLimits() {
        assertThat(reports.observe(none("a")), is(false));
        assertThat(reports.due(), is(false));
        assertThat(reports.take("x", now), is(empty()));
    }

    /** A change is due at once; a repetition is not, until a second has passed. */
    @Test
    void reportsChangesAtOnceAndRepetitionsSeldom() {
        assertThat(reports.observe(named("a", 3)), is(true));
        assertThat(reports.take("x", now), contains(named("a", 3)));
        advance(500);
        assertThat(reports.observe(named("a", 3)), is(false));
        assertThat(reports.due(), is(false));
        advance(600);
        assertThat(reports.observe(named("a", 3)), is(false));
        assertThat(reports.take("x", now), contains(named("a", 3)));
        assertThat(reports.observe(named("a", 2)), is(true));
        assertThat(reports.observe(none("a")), is(true));
        assertThat(reports.take("x", now), contains(none("a")));
        assertThat(reports.anyNamed(), is(false));
    }

    /** A report that did not arrive must be made again. */
    @Test
    void repeatsWhatWasLost() {
        reports.observe(named("a", 3));
        List<LimitReport> sent = reports.take("x", now);
        assertThat(reports.take("x", now), is(empty()));
        reports.lost(sent);
        assertThat(reports.take("x", now), is(sent));
    }

    /** Another dispatcher must be told all, also what the last one has told this instance. */
    @Test
    void tellsANewDispatcherAll() {
        reports.observe(named("a", 3));
        reports.take("x", now);
        assertThat(reports.told(named("b", 7)), is(true));
        assertThat(reports.told(named("b", 7)), is(false));
        assertThat(reports.take("x", now), is(empty()));
        assertThat(reports.take("y", now), containsInAnyOrder(named("a", 3), named("b", 7)));
    }

    /** A new dispatcher must be told what was sent recently, also if the first message to it is lost. */
    @Test
    void tellsANewDispatcherWhatWasSent() {
        reports.observe(named("a", 3));
        reports.sent("a", now);
        reports.sent("b", now);
        assertThat(reports.take("x", now).get(0).sent(), contains(now));
        long first = now;
        advance(4_000);
        reports.sent("a", now);
        List<LimitReport> lost = reports.take("y", now);
        assertThat(lost.get(0).sent(), contains(first, now));
        reports.lost(lost);
        advance(1_500);
        assertThat(reports.take("y", now).get(0).sent(), contains(now - TimeUnit.MILLISECONDS.toNanos(1_500)));
    }

    /** An instance that has never seen the limit of a target must report its end. */
    @Test
    void reportsTheEndOfALimitThatOnlyTheDispatcherKnew() {
        reports.told(named("a", 3));
        assertThat(reports.observe(none("a")), is(true));
        assertThat(reports.take("x", now), contains(none("a")));
    }

    /** An end that the dispatcher did not accept must be reported by the next answer. */
    @Test
    void reportsTheEndAgainWhileTheDispatcherNamesTheLimit() {
        reports.observe(named("a", 3));
        reports.observe(none("a"));
        reports.take("x", now);
        reports.told(named("a", 3));
        advance(200);
        assertThat(reports.observe(none("a")), is(true));
    }

    private void advance(long millis) {
        now += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private LimitReport named(String target, double perSecond) {
        return new LimitReport(target, 1, OptionalDouble.of(perSecond), now);
    }

    private LimitReport none(String target) {
        return new LimitReport(target, 1, OptionalDouble.empty(), now);
    }
}
