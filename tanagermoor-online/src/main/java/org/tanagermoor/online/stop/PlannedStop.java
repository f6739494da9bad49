package org.tanagermoor.online.stop;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.online.OnlineEvent;
import org.tanagermoor.online.admission.ActiveCalls;
import org.tanagermoor.policy.configuration.Configuration;

/** Takes this instance out of service without cutting a request. */
public final class PlannedStop {

    /** The longest wait until no instance sends callers here, which is not known while the store is down. */
    private static final Duration ANNOUNCE_TIMEOUT = Duration.ofSeconds(10);

    /** The time between two looks at the view in milliseconds. */
    private static final long POLL_INTERVAL_MILLIS = 20;

    /** The time that callers may take beyond the time to live to connect. */
    private static final Duration CONNECT_MARGIN = Duration.ofSeconds(1);

    /** The membership of this instance. */
    private final Membership membership;

    /** The requests that are being served. */
    private final ActiveCalls active;

    /** The log of events. */
    private final EventLog events;

    /** The source of the present time. */
    private final TimeSource time;

    /** The time for which callers may keep the directory. */
    private final Duration timeToLive;

    /** The longest time for finishing requests. */
    private final Duration finishTimeout;

    /**
     * Creates a planned stop.
     *
     * @param membership The membership of this instance.
     * @param active The requests that are being served.
     * @param events The log of events.
     * @param time The source of the present time.
     * @param timeToLive The time for which callers may keep the directory.
     * @param finishTimeout The longest time for finishing requests.
     */
    public PlannedStop(
            Membership membership,
            ActiveCalls active,
            EventLog events,
            TimeSource time,
            Duration timeToLive,
            Duration finishTimeout) {
        this.membership = membership;
        this.active = active;
        this.events = events;
        this.time = time;
        this.timeToLive = timeToLive;
        this.finishTimeout = finishTimeout;
    }

    /**
     * Leaves: announces it, goes on serving until no caller can still be sent here, finishes what runs, and refuses
     * what comes after.
     */
    public void run() {
        try {
            membership.leave();
            events.record(OnlineEvent.LEAVING);
            awaitAnnounced();
            TimeUnit.NANOSECONDS.sleep(timeToLive.plus(CONNECT_MARGIN).toNanos());
            events.record(OnlineEvent.LEFT_DIRECTORY);
            active.close();
            boolean idle = active.awaitIdle(finishTimeout.toNanos());
            events.record(idle ? OnlineEvent.DRAINED : OnlineEvent.DRAIN_TIMEOUT);
        } catch (InterruptedException exception) {
            active.close();
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Waits until no instance with standing lists this one, or until the longest wait is over.
     *
     * @throws InterruptedException If the wait is interrupted.
     */
    private void awaitAnnounced() throws InterruptedException {
        long announceDeadline = time.nanos() + ANNOUNCE_TIMEOUT.toNanos();
        while (announceDeadline - time.nanos() > 0 && !isAnnounced(time.nanos())) {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    /**
     * Returns whether no instance with standing lists this one.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return Whether the view in which this instance leaves is accepted.
     */
    private boolean isAnnounced(long now) {
        Configuration configuration = membership.configuration();
        boolean listed = configuration
                .view()
                .member(membership.self().id())
                .map(member -> !member.leaving())
                .orElse(false);
        return !listed && membership.viewAccepted(now);
    }
}
