package org.tanagermoor.kernel.duty;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.junit.jupiter.api.Test;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.event.EventRecord;
import org.tanagermoor.kernel.event.KernelEvent;
import org.tanagermoor.kernel.time.TimeSource;

class DutyTest {

    private static final long INTERVAL = TimeUnit.MILLISECONDS.toNanos(1);

    private static final long IDLE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final long TIMEOUT_SECONDS = 30;

    private final List<String> handled = new CopyOnWriteArrayList<>();

    private final EventLog events = EventLog.Default.of("test", TimeSource.ForSystem.INSTANCE);

    private final List<Integer> batches = new CopyOnWriteArrayList<>();

    private final CountDownLatch ticked = new CountDownLatch(3);

    private volatile LongConsumer onTick = elapsedNanos -> {};

    private long lastTick = Long.MAX_VALUE;

    private final CountDownLatch entered = new CountDownLatch(1);

    private final CountDownLatch released = new CountDownLatch(1);

    @Test
    void handlesMessagesInOrderAndTicks() throws InterruptedException {
        Duty<String> duty = start(8);
        duty.offer("first");
        duty.offer("second");

        assertThat(ticked.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
        duty.close();
        assertThat(handled, contains("first", "second"));
        assertThat(duty.offer("late"), is(false));
    }

    @Test
    void aMessageWakesAnIdleDuty() throws InterruptedException {
        Duty<String> duty = start(8);
        assertThat(ticked.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
        CountDownLatch idle = new CountDownLatch(1);
        onTick = elapsedNanos -> {
            if (elapsedNanos >= IDLE_INTERVAL_NANOS) {
                idle.countDown();
            }
        };
        assertThat(idle.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));

        duty.offer("wakes it");
        duty.close();

        assertThat(handled, contains("wakes it"));
    }

    @Test
    void callsHandledOncePerBatch() throws InterruptedException {
        Duty<String> duty = start(8);
        duty.offer("wait");
        assertThat(entered.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
        duty.offer("a");
        duty.offer("b");
        released.countDown();
        duty.close();

        assertThat(handled, contains("wait", "a", "b"));
        assertThat(batches, contains(3));
    }

    @Test
    void continuesAfterADefect() {
        Duty<String> duty = start(8);
        duty.offer("defect");
        duty.offer("next");

        duty.close();

        List<EventRecord> defects = events.since(0, Integer.MAX_VALUE);
        assertThat(defects.size(), is(1));
        assertThat(defects.get(0).type(), is(KernelEvent.DUTY_DEFECT));
        assertThat(defects.get(0).fields().get("duty"), is("test"));
        assertThat(defects.get(0).fields().get("error"), containsString("a defect"));
        assertThat(defects.get(0).fields().get("at"), containsString("DutyTest"));
        assertThat(handled, contains("next"));
    }

    @Test
    void refusesMessagesWhenTheRingIsFull() throws InterruptedException {
        Duty<String> duty = start(2);
        duty.offer("wait");
        assertThat(entered.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));

        assertThat(duty.offer("a"), is(true));
        assertThat(duty.offer("b"), is(true));
        assertThat(duty.offer("c"), is(false));
        released.countDown();
        duty.close();
        assertThat(handled, contains("wait", "a", "b"));
    }

    private Duty<String> start(int capacity) {
        return Duty.start("test", capacity, INTERVAL, TimeSource.ForSystem.INSTANCE, events, new Duty.Work<>() {
            @Override
            public void handle(String message, long now) {
                switch (message) {
                    case "defect" -> throw new IllegalStateException("a defect");
                    case "wait" -> await();
                    default -> {
                        // Only recorded below.
                    }
                }
                handled.add(message);
            }

            @Override
            public void handled(long now) {
                batches.add(handled.size());
            }

            @Override
            public void tick(long now) {
                onTick.accept(now - lastTick);
                lastTick = now;
                ticked.countDown();
            }
        });
    }

    private void await() {
        entered.countDown();
        try {
            released.await();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
