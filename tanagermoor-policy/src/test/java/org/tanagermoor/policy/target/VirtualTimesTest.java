package org.tanagermoor.policy.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a flow that gets more than its share because it asks for more. */
final class VirtualTimesTest {

    /** While all flows wait, each must be served in proportion to its weight, however much one of them asks for. */
    @ParameterizedTest
    @ValueSource(ints = {1, 6, 50})
    void servesWaitingFlowsByWeight(int excess) {
        VirtualTimes<String> times = VirtualTimes.of();
        PriorityQueue<Waiting> queue = new PriorityQueue<>(Comparator.comparingDouble(Waiting::start));
        for (int request = 0; request < 100 * excess; request++) {
            queue.add(new Waiting("large", times.add("large", 1)));
        }
        for (int request = 0; request < 100; request++) {
            queue.add(new Waiting("small", times.add("small", 1)));
            queue.add(new Waiting("heavy", times.add("heavy", 0.5)));
        }
        Map<String, Integer> served = new HashMap<>();
        for (int place = 0; place < 120; place++) {
            Waiting next = queue.remove();
            times.served(next.start());
            served.merge(next.flow(), 1, Integer::sum);
        }
        assertThat((double) served.get("heavy"), closeTo(60, 2));
        assertThat((double) served.get("small"), closeTo(30, 2));
    }

    /** A flow that has been idle must neither be owed its earlier share nor wait behind what others have used. */
    @Test
    void letsAnIdleFlowStartAtThePresent() {
        VirtualTimes<String> times = VirtualTimes.of();
        for (int request = 0; request < 100; request++) {
            times.served(times.add("busy", 1));
        }
        assertThat(times.start("idle", 1), closeTo(99, 1e-9));
        assertThat(times.start("idle", 1), is(lessThan(times.start("busy", 1))));
    }

    /** A flow that has been idle may catch up with a few requests, but must not store more than that. */
    @ParameterizedTest
    @ValueSource(ints = {1, 4})
    void letsAnIdleFlowCatchUpWithABurst(int burst) {
        VirtualTimes<String> times = VirtualTimes.ofBurst(burst);
        for (int request = 0; request < 100; request++) {
            times.served(times.add("busy", 1));
        }
        double present = times.start("busy", 1) - 1;
        for (int request = 0; request < burst; request++) {
            assertThat(times.add("idle", 2), is(lessThan(present)));
        }
        assertThat(times.add("idle", 2), is(greaterThanOrEqualTo(present)));
    }

    /** A request that is withdrawn must not count against its flow. */
    @Test
    void regainsTheTimeOfAWithdrawnRequest() {
        VirtualTimes<String> times = VirtualTimes.of();
        double first = times.add("a", 1);
        double second = times.add("a", 1);
        times.withdrawn("a", second, 1);
        assertThat(times.start("a", 1), closeTo(first + 1, 1e-9));
    }

    /** A request in the queue. */
    private record Waiting(String flow, double start) {}
}
