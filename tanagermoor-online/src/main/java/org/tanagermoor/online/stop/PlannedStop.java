package org.tanagermoor.online.stop;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.online.OnlineEvent;
import org.tanagermoor.online.admission.ActiveCalls;
import org.tanagermoor.policy.configuration.Configuration;

/**
 * Takes this instance out of service without interrupting a request: callers are directed elsewhere first, then the
 * running requests finish.
 */
public final class PlannedStop {

    /** The maximum wait until no instance lists this one. While the store is down, nothing confirms that. */
    private static final Duration ANNOUNCE_TIMEOUT = Duration.ofSeconds(10);

    /** The time between two checks of the view. */
    private static final long POLL_INTERVAL_MILLIS = 20;

    /** The time that callers may take to connect after their directory expired. */
    private static final Duration CONNECT_MARGIN = Duration.ofSeconds(1);

    private final Membership membership;

    private final ActiveCalls active;

    private final EventLog events;

    private final TimeSource time;

    /** The time for which callers may use a directory that they fetched. */
    private final Duration timeToLive;

    /** The maximum time for running requests to finish. */
    private final Duration finishTimeout;

    /**
     * Creates a planned stop, which does nothing until it is run.
     *
     * @param membership The membership of this instance.
     * @param active The requests that are being served.
     * @param events The log of events.
     * @param time The source of the current time.
     * @param timeToLive The time for which callers may use a directory that they fetched.
     * @param finishTimeout The maximum time for running requests to finish.
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
     * Announces that this instance leaves, serves until no caller can still be directed here, then refuses new requests
     * and waits for those that run. Blocks until all are finished or the time for finishing is over.
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
     * Waits until no instance with standing lists this one, or until the time-out.
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
     * Returns whether no instance with standing lists this one, which holds once the view in which this instance leaves
     * is accepted.
     *
     * @param now The current monotonic time in nanoseconds.
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
