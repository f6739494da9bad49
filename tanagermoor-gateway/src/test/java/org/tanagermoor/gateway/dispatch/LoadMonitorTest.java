package org.tanagermoor.gateway.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.tanagermoor.gateway.forward.TargetLoad;
import org.tanagermoor.kernel.event.EventLog;

/** Guards against targets that are limited without an operator seeing it. */
final class LoadMonitorTest extends DispatcherFixture {

    /** A new target of a service that reports speeds must count as limited until it has answered often enough. */
    @Test
    void countsTheTargetsThatAreLimited() {
        MetricRegistry registry = new MetricRegistry();
        LoadMonitor monitor = LoadMonitor.of(dispatcher, new EventLog.Disabled(), registry);
        ask(1, false);
        answer(1);
        dispatcher.targets(List.of(target("a", 2, 0), target("b", 2, 0), target("c", 2, 0)), service -> 0, now);
        monitor.tick();
        assertThat(registry.counter("dispatch.targets-limited").getCount(), is(1L));
        for (long permit = 10; permit < 13; permit++) {
            ask(permit, false);
        }
        for (long permit = 10; permit < 13; permit++) {
            answer(permit);
        }
        monitor.tick();
        assertThat(registry.counter("dispatch.targets-limited").getCount(), is(0L));
    }

    /** A target that names a request limit must count until it no longer does. */
    @Test
    void countsTheTargetsThatNameALimit() {
        MetricRegistry registry = new MetricRegistry();
        LoadMonitor monitor = LoadMonitor.of(dispatcher, new EventLog.Disabled(), registry);
        dispatcher.limits().report(new LimitReport("a", 0, OptionalDouble.of(2), now), now);
        monitor.tick();
        assertThat(registry.counter("dispatch.targets-naming-a-limit").getCount(), is(1L));
        advance(1_000);
        dispatcher.limits().report(new LimitReport("a", 0, OptionalDouble.empty(), now), now);
        monitor.tick();
        assertThat(registry.counter("dispatch.targets-naming-a-limit").getCount(), is(0L));
    }

    private void answer(long permit) {
        RunAnswer answer = new RunAnswer(
                false,
                TimeUnit.MILLISECONDS.toNanos(20),
                10,
                TimeUnit.MILLISECONDS.toNanos(200),
                Optional.of(new LoadReport(new TargetLoad(1, 0, 2, 100), now)));
        dispatcher.release("x", permit, PlaceOutcome.SERVED, answer, now);
    }
}
