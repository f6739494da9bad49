package org.tanagermoor.policy.target;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.tanagermoor.policy.configuration.Preset;
import org.tanagermoor.policy.configuration.Target;
import org.tanagermoor.policy.fleet.InstanceId;

/**
 * What the steward of a target records about the permits that it lends to instances. A steward is the instance that
 * divides the capacity of a target between all instances. The sum of the upper bounds of all instances never grows
 * beyond the capacity of the target: an instance counts with the maximum number of permits that it may be using, until
 * it reports that it applied a lower grant or until its lease expires.
 */
final class PermitLedger {

    /** The divisor of the online use of an instance that gives the permits lent to it ahead of demand. */
    private static final int HEADROOM_DIVISOR = 4;

    /**
     * The time for which orphaned requests count, in nanoseconds. A request is orphaned if its instance fell silent or
     * if no instance reported it.
     */
    private static final long ORPHAN_TIMEOUT_NANOS = 30_000_000_000L;

    /** The time to wait for the first load report of the target before permits are added, in nanoseconds. */
    private static final long LOAD_REPORT_TIMEOUT_NANOS = 2_000_000_000L;

    private final TargetWarmth warmth;

    /** The instances that hold permits or have requests waiting. */
    private final Map<InstanceId, Holder> holders = new TreeMap<>();

    /** The number of orphaned requests that is assumed until the target reports its load: more than any target runs. */
    private static final int INITIAL_ORPHANS = 1_000_000;

    /**
     * The upper bound of the requests that may run although no instance reports them. Such requests only end, none
     * start.
     */
    private int orphans = INITIAL_ORPHANS;

    /** The monotonic time of the last event that may have orphaned requests, in nanoseconds. */
    private long orphanedAt;

    /** The monotonic time until which no instance is given more permits than it already holds, in nanoseconds. */
    private final long growthAllowedAt;

    /** The capacity in the last load report, or {@link Integer#MAX_VALUE} if the target reported none. */
    private int reportedCapacity = Integer.MAX_VALUE;

    /**
     * Creates a ledger without any instances.
     *
     * @param growthAllowedAt The monotonic time until which no instance is given more permits than it already holds, in
     *     nanoseconds.
     * @param now The current monotonic time in nanoseconds.
     */
    PermitLedger(long growthAllowedAt, long now) {
        this.growthAllowedAt = growthAllowedAt;
        orphanedAt = growthAllowedAt;
        warmth = new TargetWarmth(now);
    }

    TargetWarmth warmth() {
        return warmth;
    }

    /**
     * Records the report of an instance and computes a new grant for it.
     *
     * @param from The instance.
     * @param report The report.
     * @param target The target.
     * @param preset The preset in force.
     * @param now The current monotonic time in nanoseconds.
     * @return The grant, which replaces the previous one.
     */
    PermitGrant lend(InstanceId from, PermitReport report, Target target, Preset preset, long now) {
        expire(now);
        Holder holder = holders.computeIfAbsent(from, id -> new Holder());
        holder.report(report, now);
        int capacity = capacity(target, now);
        Allocation allocation = divide(capacity - orphans(now), capacity, preset);
        int available = Math.max(0, capacity - orphans(now) - boundOfOthers(from));
        int ceiling = growthAllowed(now) ? available : Math.min(available, report.heldPermits());
        int online = Math.min(allocation.online.getOrDefault(from, 0), ceiling);
        int batch = Math.min(allocation.batch.getOrDefault(from, 0), ceiling - online);
        int headroom = report.onlineUse() > 0 ? Math.max(1, report.onlineUse() / HEADROOM_DIVISOR) : 0;
        int running = Math.max(batch, Math.min(report.batchUse(), ceiling - online));
        int spare = Math.min(headroom, (ceiling - online - running) / 2);
        int total = online + running + spare;
        holder.granted = total;
        return new PermitGrant(
                target.id(), total, batch, capacity, use() - report.use(), warmth.mark(), warmth.warmMillis(now));
    }

    /**
     * Returns lowered grants, so that online requests of other instances can run. Permits that are not in use are
     * taken back first, then those that batch requests use.
     *
     * @param target The target.
     * @param preset The preset in force.
     * @param now The current monotonic time in nanoseconds.
     * @return The lowered grants by instance.
     */
    Map<InstanceId, PermitGrant> recalls(Target target, Preset preset, long now) {
        expire(now);
        int capacity = capacity(target, now);
        Allocation allocation = divide(capacity - orphans(now), capacity, preset);
        int unmetOnline = holders.entrySet().stream()
                .mapToInt(entry -> allocation.online.getOrDefault(entry.getKey(), 0)
                        - entry.getValue().bound())
                .filter(missing -> missing > 0)
                .sum();
        Map<InstanceId, PermitGrant> recalls = new TreeMap<>();
        if (totalBound() + orphans(now) + unmetOnline <= capacity) {
            return recalls;
        }
        holders.forEach((id, holder) -> {
            int batch = allocation.batch.getOrDefault(id, 0);
            int total = allocation.online.getOrDefault(id, 0) + batch;
            if (holder.bound() > total && holder.recalledTo != total) {
                holder.recalledTo = total;
                recalls.put(id, new PermitGrant(target.id(), total, batch, capacity, use() - holder.use(), "", 0));
            }
        });
        return recalls;
    }

    /**
     * Records a load report of the target.
     *
     * @param load The report.
     * @param sampledAt The monotonic time at which it was made, in nanoseconds.
     * @param now The current monotonic time in nanoseconds.
     * @return Whether the target counts as cold because of it.
     */
    boolean recordLoad(LoadReport load, long sampledAt, long now) {
        reportedCapacity = load.capacity() > 0 ? load.capacity() : Integer.MAX_VALUE;
        if (sampledAt - orphanedAt > 0 && now - orphanedAt < ORPHAN_TIMEOUT_NANOS) {
            orphans = Math.clamp(load.running() + load.waiting() - (long) use(), 0, orphans);
        }
        return warmth.recordLoad(load.startMark(), sampledAt, now);
    }

    /**
     * Returns the sum of the upper bounds of all instances: the maximum number of requests that may run under their
     * permits.
     */
    int totalBound() {
        return holders.values().stream().mapToInt(Holder::bound).sum();
    }

    /**
     * Returns the upper bound of the orphaned requests; 0 until permits may be added.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The number of requests.
     */
    private int orphans(long now) {
        return growthAllowed(now) ? orphans : 0;
    }

    /**
     * Returns whether instances may be given more permits than they already hold.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return Whether the permits of an earlier steward have expired, and either the target has reported how many
     *     requests still run under them or the time to wait for its report has passed.
     */
    private boolean growthAllowed(long now) {
        long elapsed = now - growthAllowedAt;
        return elapsed >= 0 && (orphans < INITIAL_ORPHANS || elapsed >= LOAD_REPORT_TIMEOUT_NANOS);
    }

    /**
     * Returns the current capacity of the target: the lower of the one that it reported and the one that its warm-up
     * state allows.
     *
     * @param target The target.
     * @param now The current monotonic time in nanoseconds.
     * @return The number of requests that the target can run at once.
     */
    private int capacity(Target target, long now) {
        return Math.min(reportedCapacity, warmth.capacity(target, now));
    }

    /**
     * Divides the capacity of the target between the instances, online requests first.
     *
     * @param free The capacity that orphaned requests leave.
     * @param capacity The complete capacity.
     * @param preset The preset in force.
     * @return The permits of each instance.
     */
    private Allocation divide(int free, int capacity, Preset preset) {
        Map<InstanceId, Integer> online = new HashMap<>();
        Map<InstanceId, Integer> batch = new HashMap<>();
        holders.forEach((id, holder) -> {
            online.put(id, holder.lastReport.onlineUse() + holder.lastReport.onlineWanted());
            batch.put(id, holder.lastReport.batchUse() + holder.lastReport.batchWanted());
        });
        Map<InstanceId, Integer> onlineShares = FairShares.divide(online, free);
        int onlineTotal =
                onlineShares.values().stream().mapToInt(Integer::intValue).sum();
        double afterReserve = free - capacity * preset.onlineReserve() - onlineTotal;
        int batchAmount = (int) Math.floor(Math.min(capacity * preset.batchShare(), afterReserve));
        return new Allocation(onlineShares, FairShares.divide(batch, batchAmount));
    }

    /**
     * Removes the instances whose leases have expired. The requests that they may still run count as orphaned until a
     * load report shows that they have ended, or until the orphan timeout.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    private void expire(long now) {
        holders.values().removeIf(holder -> {
            boolean leaseExpired = now - holder.receivedAt >= PermitSteward.STEWARD_LEASE_NANOS;
            if (leaseExpired && holder.bound() > 0) {
                orphans += holder.bound();
                orphanedAt = now;
            }
            return leaseExpired;
        });
        boolean loadUnknown = orphans >= INITIAL_ORPHANS && now - growthAllowedAt >= LOAD_REPORT_TIMEOUT_NANOS;
        if (loadUnknown || now - orphanedAt >= ORPHAN_TIMEOUT_NANOS) {
            orphans = 0;
        }
    }

    /**
     * Returns the sum of the upper bounds of the other instances.
     *
     * @param from The instance that is left out.
     * @return The sum.
     */
    private int boundOfOthers(InstanceId from) {
        return holders.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(from))
                .mapToInt(entry -> entry.getValue().bound())
                .sum();
    }

    /** Returns the number of running requests that the instances reported last. */
    private int use() {
        return holders.values().stream().mapToInt(Holder::use).sum();
    }

    /**
     * The permits of each instance after dividing the capacity.
     *
     * @param online The permits of each instance for online requests.
     * @param batch The permits of each instance for batch requests.
     */
    private record Allocation(Map<InstanceId, Integer> online, Map<InstanceId, Integer> batch) {}

    /** The state of an instance that holds permits or has requests waiting. */
    private static final class Holder {

        private PermitReport lastReport = PermitReport.empty();

        /** The permits that were granted since the last report. */
        private int granted;

        /** The monotonic time at which the last report was received, in nanoseconds. */
        private long receivedAt;

        /** The total to which permits were recalled since the last report, or -1. */
        private int recalledTo = -1;

        /**
         * Records a report. An earlier grant that the instance had not applied when it sent the report is void.
         *
         * @param report The report.
         * @param now The current monotonic time in nanoseconds.
         */
        private void report(PermitReport report, long now) {
            lastReport = report;
            receivedAt = now;
            recalledTo = -1;
            granted = 0;
        }

        /** Returns the upper bound of the permits that the instance may be using. */
        private int bound() {
            return Math.max(granted, Math.max(lastReport.heldPermits(), lastReport.use()));
        }

        /** Returns the number of running requests in the last report. */
        private int use() {
            return lastReport.use();
        }
    }
}
