package org.tanagermoor.policy.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.fleet.View;

/**
 * The message exchange of an instance with the stewards of targets: it reports use and demand to each steward, and
 * applies the grants in the answers. Not thread-safe.
 */
public final class PermitExchange {

    /** The time after the last report at which a lease is renewed, in nanoseconds. */
    private static final long RENEWAL_INTERVAL_NANOS = 400 * PermitBook.NANOS_PER_MILLI;

    /**
     * The minimum time between two messages to a steward while requests wait or a target shows signs of cold, in
     * nanoseconds.
     */
    private static final long MIN_URGENT_INTERVAL_NANOS = 20 * PermitBook.NANOS_PER_MILLI;

    /** The time after which a message without an answer counts as lost, in nanoseconds. */
    private static final long ANSWER_TIMEOUT_NANOS = 150 * PermitBook.NANOS_PER_MILLI;

    private final PermitBook<?> book;

    /** The steward of each target in the adopted view, or empty if the target has none. */
    private final Map<TargetId, Optional<InstanceId>> stewards = new HashMap<>();

    /** The state of the exchange with each steward. */
    private final Map<InstanceId, Exchange> exchanges = new HashMap<>();

    /** The view that was adopted last. */
    private View view = View.EMPTY;

    /** The sequence number of the last message. */
    private long sequence;

    private PermitExchange(PermitBook<?> book) {
        this.book = book;
    }

    /**
     * Creates an exchange on behalf of a book.
     *
     * @param book The permits to report on and to update.
     * @return An exchange.
     */
    public static PermitExchange of(PermitBook<?> book) {
        return new PermitExchange(book);
    }

    /**
     * Adopts a configuration. If the view has changed, answers that are still in flight are ignored.
     *
     * @param configuration The configuration.
     */
    public void adopt(Configuration configuration) {
        if (configuration.view().version() != view.version()) {
            view = configuration.view();
            stewards.clear();
            exchanges.clear();
        }
    }

    /**
     * Returns the messages that must be sent now, at most one to each steward.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The messages by steward.
     */
    public Map<InstanceId, PermitReports> dueReports(long now) {
        Map<InstanceId, List<PermitLease>> leasesBySteward = new TreeMap<>();
        Map<TargetId, PermitBook.WaitingCounts> waitingCounts = book.waitingCounts();
        book.leases().forEach((id, lease) -> {
            boolean needed = waitingCounts.containsKey(id)
                    || lease.use() > 0
                    || lease.heldPermits(now) > 0
                    || lease.needsUrgentReport();
            if (needed) {
                steward(id)
                        .ifPresent(steward -> leasesBySteward
                                .computeIfAbsent(steward, key -> new ArrayList<>())
                                .add(lease));
            }
        });
        Map<InstanceId, PermitReports> dueReports = new TreeMap<>();
        leasesBySteward.forEach((steward, leases) -> {
            Exchange exchange = exchanges.computeIfAbsent(steward, id -> new Exchange(now));
            boolean urgent = leases.stream().anyMatch(lease -> urgent(lease, waitingCounts));
            if (exchange.due(urgent, now)) {
                dueReports.put(steward, createReports(exchange, leases, waitingCounts, now));
            }
        });
        return dueReports;
    }

    /**
     * Applies the answer of a steward. It is ignored unless it answers the message that is pending.
     *
     * @param steward The steward.
     * @param answeredSequence The sequence number of the message that is answered.
     * @param grants The grants.
     * @param now The current monotonic time in nanoseconds.
     */
    public void answer(InstanceId steward, long answeredSequence, List<PermitGrant> grants, long now) {
        Exchange exchange = exchanges.get(steward);
        if (exchange == null || exchange.pendingSequence != answeredSequence) {
            return;
        }
        exchange.pendingSequence = 0;
        long expiresAt = exchange.sentAt + PermitSteward.HOLDER_LEASE_NANOS;
        for (PermitGrant grant : grants) {
            PermitLease lease = book.lease(grant.target());
            if (lease != null && steward(grant.target()).equals(Optional.of(steward))) {
                lease.apply(grant, exchange.sentAt, expiresAt, now);
            }
        }
    }

    /**
     * Lowers permits that a steward recalls for other instances, and schedules a report of this as soon as possible.
     *
     * @param steward The steward.
     * @param grants The lowered grants.
     */
    public void recall(InstanceId steward, List<PermitGrant> grants) {
        for (PermitGrant grant : grants) {
            PermitLease lease = book.lease(grant.target());
            if (lease != null && steward(grant.target()).equals(Optional.of(steward))) {
                lease.lower(grant.total(), grant.batch());
            }
        }
        Exchange exchange = exchanges.get(steward);
        if (exchange != null) {
            exchange.dueAt = exchange.sentAt;
        }
    }

    /**
     * Creates a message and marks it as pending.
     *
     * @param exchange The exchange with the steward.
     * @param leases The leases to report on.
     * @param waitingCounts The numbers of waiting requests by target.
     * @param now The current monotonic time in nanoseconds.
     * @return A message.
     */
    private PermitReports createReports(
            Exchange exchange,
            List<PermitLease> leases,
            Map<TargetId, PermitBook.WaitingCounts> waitingCounts,
            long now) {
        List<PermitReport> reports = new ArrayList<>();
        for (PermitLease lease : leases) {
            PermitBook.WaitingCounts waiting =
                    waitingCounts.getOrDefault(lease.target().id(), PermitBook.WaitingCounts.NONE);
            reports.add(lease.report(waiting.online(), waiting.batch(), now));
        }
        exchange.pendingSequence = ++sequence;
        exchange.sentAt = now;
        exchange.dueAt = now + RENEWAL_INTERVAL_NANOS;
        return new PermitReports(sequence, reports);
    }

    /**
     * Returns whether a lease must be reported soon.
     *
     * @param lease The lease.
     * @param waitingCounts The numbers of waiting requests by target.
     * @return Whether the target shows a sign of cold, or requests wait for it.
     */
    private static boolean urgent(PermitLease lease, Map<TargetId, PermitBook.WaitingCounts> waitingCounts) {
        return lease.needsUrgentReport()
                || waitingCounts.containsKey(lease.target().id());
    }

    private Optional<InstanceId> steward(TargetId target) {
        return stewards.computeIfAbsent(target, id -> PermitSteward.steward(id, view));
    }

    /** The state of the exchange with one steward. */
    private static final class Exchange {

        /** The sequence number of the message that has no answer yet, or 0. */
        private long pendingSequence;

        /** The monotonic time at which the last message was sent, in nanoseconds. */
        private long sentAt;

        /** The monotonic time at which the next message is due, in nanoseconds. */
        private long dueAt;

        /**
         * Creates an exchange whose first message is due at once.
         *
         * @param now The current monotonic time in nanoseconds.
         */
        private Exchange(long now) {
            sentAt = now - MIN_URGENT_INTERVAL_NANOS;
            dueAt = now;
        }

        /**
         * Returns whether a message is due. A pending message that has timed out no longer counts.
         *
         * @param urgent Whether the steward must be contacted soon.
         * @param now The current monotonic time in nanoseconds.
         * @return Whether a message is due.
         */
        private boolean due(boolean urgent, long now) {
            if (pendingSequence != 0 && now - sentAt >= ANSWER_TIMEOUT_NANOS) {
                pendingSequence = 0;
                dueAt = now;
            }
            boolean soon = urgent && now - sentAt >= MIN_URGENT_INTERVAL_NANOS;
            return pendingSequence == 0 && (soon || now - dueAt >= 0);
        }
    }
}
