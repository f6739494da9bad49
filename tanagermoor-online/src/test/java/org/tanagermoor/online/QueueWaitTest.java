package org.tanagermoor.online;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagermoor.store.table.TableService;

/** Guards against a request that waits for a permit beyond its own deadline or beyond the configured maximum. */
class QueueWaitTest {

    @ParameterizedTest
    @CsvSource({"1500, 60000, 1500", "60000, 4000, 4000"})
    void waitsUntilTheEarlierOfDeadlineAndSetting(long waitMillis, long deadlineMillis, long expectedMillis)
            throws Exception {
        OnlineFixture fixture = new OnlineFixture(TableService.InMemory.of(), "--queue-wait-millis=" + waitMillis);
        try {
            fixture.addTarget("assistant");
            long before = System.nanoTime();
            OnlineFixture.Answer answer =
                    fixture.send(fixture.completion("assistant", true, 1, "x-deadline-ms", "" + deadlineMillis));
            long after = System.nanoTime();

            assertThat(answer.status(), is(200));
            long leaseDeadline = fixture.targets.leaseRequests.get(0).deadline();
            long expected = TimeUnit.MILLISECONDS.toNanos(expectedMillis);
            assertThat(leaseDeadline - before, greaterThanOrEqualTo(expected));
            assertThat(leaseDeadline - after, lessThanOrEqualTo(expected));
        } finally {
            fixture.close();
        }
    }
}
