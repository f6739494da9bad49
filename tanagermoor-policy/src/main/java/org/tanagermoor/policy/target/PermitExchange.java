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

/** The exchange of an instance with the stewards of targets. Not safe for use by several threads. */
public final class PermitExchange {

    /** The time after which a lease is renewed, in nanoseconds. */
    private static final long RENEW_NANOS = 400 * PermitBook.NANOS_PER_MILLI;

    /** The shortest time between two messages to a steward while requests wait, in nanoseconds. */
    private static final long URGENT_NANOS = 20 * PermitBook.NANOS_PER_MILLI;

    /** The time after which a message counts as lost, in nanoseconds. */
    private static final long ANSWER_TIMEOUT_NANOS = 150 * PermitBook.NANOS_PER_MILLI;

    /** The permits. */
    private final PermitBook<?> book;

    /** The stewards of the targets in the adopted view. */
    private final Map<TargetId, Optional<InstanceId>> stewards = new HashMap<>();

    /** The state of the exchange with each steward. */
    private final Map<InstanceId, Exchange> exchanges = new HashMap<>();

    /** The adopted view. */
    private View view = View.EMPTY;

    /** The number of the last message. */
    private long sequence;

    /**
     * Creates an exchange.
     *
     * @param book The permits.
     */
    private PermitExchange(PermitBook<?> book) {
        this.book = book;
    }

    /**
     * Returns an exchange.
     *
     * @param book The permits.
     * @return An exchange.
     */
    public static PermitExchange of(PermitBook<?> book) {
        return new PermitExchange(book);
    }

    /**
     * Adopts a configuration. After a change of the view, answers that are on their way are void.
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
     * Returns the messages to send, at most one for each steward.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return The messages by steward.
     */
    public Map<InstanceId, PermitReports> dueReports(long now) {
        Map<InstanceId, List<PermitLease>> groups = new TreeMap<>();
        Map<TargetId, PermitBook.Wanted> wanted = book.wanted();
        book.leases().forEach((id, lease) -> {
            boolean needed = wanted.containsKey(id) || lease.use() > 0 || lease.held(now) > 0 || lease.alarmed();
            if (needed) {
                steward(id)
                        .ifPresent(steward -> groups.computeIfAbsent(steward, key -> new ArrayList<>())
                                .add(lease));
            }
        });
        Map<InstanceId, PermitReports> dueReports = new TreeMap<>();
        groups.forEach((steward, leases) -> {
            Exchange exchange = exchanges.computeIfAbsent(steward, id -> new Exchange(now));
            boolean urgent = leases.stream().anyMatch(lease -> urgent(lease, wanted));
            if (exchange.due(urgent, now)) {
                dueReports.put(steward, ask(exchange, leases, wanted, now));
            }
        });
        return dueReports;
    }

    /**
     * Takes the answer of a steward. Nothing happens unless it answers the message that waits.
     *
     * @param steward The steward.
     * @param number The number of the message that is answered.
     * @param grants The grants.
     * @param now The present monotonic time in nanoseconds.
     */
    public void answer(InstanceId steward, long number, List<PermitGrant> grants, long now) {
        Exchange exchange = exchanges.get(steward);
        if (exchange == null || exchange.pending != number) {
            return;
        }
        exchange.pending = 0;
        long lapses = exchange.sentAt + PermitSteward.USABLE_NANOS;
        for (PermitGrant grant : grants) {
            PermitLease lease = book.lease(grant.target());
            if (lease != null && steward(grant.target()).equals(Optional.of(steward))) {
                lease.apply(grant, exchange.sentAt, lapses, now);
            }
        }
    }

    /**
     * Lowers what is held, because a steward needs it for others, and reports that at once.
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
     * Returns a message.
     *
     * @param exchange The exchange with the steward.
     * @param leases The leases to report on.
     * @param wanted What waits, by target.
     * @param now The present monotonic time in nanoseconds.
     * @return A message.
     */
    private PermitReports ask(
            Exchange exchange, List<PermitLease> leases, Map<TargetId, PermitBook.Wanted> wanted, long now) {
        List<PermitReport> reports = new ArrayList<>();
        for (PermitLease lease : leases) {
            PermitBook.Wanted waiting = wanted.getOrDefault(lease.target().id(), PermitBook.Wanted.NONE);
            reports.add(lease.report(waiting.online(), waiting.batch(), now));
        }
        exchange.pending = ++sequence;
        exchange.sentAt = now;
        exchange.dueAt = now + RENEW_NANOS;
        return new PermitReports(sequence, reports);
    }

    /**
     * Returns whether a steward is to be asked soon.
     *
     * @param lease The lease.
     * @param wanted What waits, by target.
     * @return Whether the target shows a sign of cold, or requests wait for it.
     */
    private static boolean urgent(PermitLease lease, Map<TargetId, PermitBook.Wanted> wanted) {
        return lease.alarmed() || wanted.containsKey(lease.target().id());
    }

    /**
     * Returns the steward of a target.
     *
     * @param target The target.
     * @return The steward, if there is one.
     */
    private Optional<InstanceId> steward(TargetId target) {
        return stewards.computeIfAbsent(target, id -> PermitSteward.steward(id, view));
    }

    /** The state of the exchange with a steward. */
    private static final class Exchange {

        /** The number of the message that waits for its answer, or 0. */
        private long pending;

        /** The monotonic time of the last message in nanoseconds. */
        private long sentAt;

        /** The monotonic time at which the next message is due, in nanoseconds. */
        private long dueAt;

        /**
         * Creates the state of an exchange that begins at once.
         *
         * @param now The present monotonic time in nanoseconds.
         */
        private Exchange(long now) {
            sentAt = now - URGENT_NANOS;
            dueAt = now;
        }

        /**
         * Returns whether a message is due.
         *
         * @param urgent Whether the steward is to be asked soon.
         * @param now The present monotonic time in nanoseconds.
         * @return Whether a message is due.
         */
        private boolean due(boolean urgent, long now) {
            if (pending != 0 && now - sentAt >= ANSWER_TIMEOUT_NANOS) {
                pending = 0;
                dueAt = now;
            }
            boolean soon = urgent && now - sentAt >= URGENT_NANOS;
            return pending == 0 && (soon || now - dueAt >= 0);
        }
    }
}
