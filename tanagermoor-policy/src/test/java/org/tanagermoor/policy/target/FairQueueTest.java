package org.tanagermoor.policy.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.tanagermoor.policy.fleet.TeamId;

class FairQueueTest {

    private static final TeamId HEAVY = TeamId.of("heavy");

    private static final TeamId LIGHT = TeamId.of("light");

    @Test
    void servesTeamsByWeightAndOnlineBeforeBatch() {
        FairQueue<String> queue = FairQueue.of(100);
        queue.offer(LIGHT, 1, true, Long.MAX_VALUE, "batch");
        for (int index = 0; index < 6; index++) {
            queue.offer(HEAVY, 2, false, Long.MAX_VALUE, "heavy");
        }
        for (int index = 0; index < 3; index++) {
            queue.offer(LIGHT, 1, false, Long.MAX_VALUE, "light");
        }

        List<String> served = new ArrayList<>();
        for (int index = 0; index < 6; index++) {
            served.add(queue.poll(waiter -> true));
        }

        assertThat(served.stream().filter("heavy"::equals).count(), is(4L));
        assertThat(queue.poll("batch"::equals), is("batch"));
        assertThat(queue.poll("none"::equals), nullValue());
    }

    @Test
    void aFullQueueDisplacesBatchFirstAndThenTheTeamWithTheMostEntries() {
        FairQueue<String> queue = FairQueue.of(2);
        queue.offer(LIGHT, 1, true, Long.MAX_VALUE, "batch");
        queue.offer(HEAVY, 1, false, Long.MAX_VALUE, "first");

        assertThat(queue.offer(HEAVY, 1, false, Long.MAX_VALUE, "second"), contains("batch"));
        assertThat(queue.offer(LIGHT, 1, false, Long.MAX_VALUE, "light"), contains("second"));
        assertThat(queue.offer(HEAVY, 1, false, Long.MAX_VALUE, "third"), contains("third"));
    }

    @Test
    void expiresEntriesThatCannotMeetTheirDeadline() {
        FairQueue<String> queue = FairQueue.of(10);
        queue.offer(HEAVY, 1, false, 100, "served");
        queue.offer(HEAVY, 1, false, 100, "too late");
        queue.offer(HEAVY, 1, false, 1_000, "waits");

        assertThat(queue.expire(50, 60), contains("too late"));
        assertThat(queue.waiting(), contains("served", "waits"));
    }
}
