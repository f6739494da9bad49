package org.tanagermoor.policy.target;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.tanagermoor.policy.configuration.Preset;
import org.tanagermoor.policy.configuration.Target;
import org.tanagermoor.policy.fleet.InstanceId;

/**
 * What a steward knows of one target. The bounds of all instances together never grow beyond what the target bears: an
 * instance counts with the most that it may use, until it says that it applied a lower grant or its lease lapsed.
 */
final class PermitLedger {

    /** The part of the use of an instance that is lent ahead of demand. */
    private static final int AHEAD_DIVISOR = 4;

    /** The time for which requests of instances that fell silent, or that nobody reported, count, in nanoseconds. */
    private static final long ORPHAN_NANOS = 30_000_000_000L;

    /** The time to wait for the first report of load before permits are added, in nanoseconds. */
    private static final long LOAD_NANOS = 2_000_000_000L;

    /** The warmth. */
    private final TargetWarmth warmth;

    /** The instances that hold or want permits. */
    private final Map<InstanceId, Holder> holders = new TreeMap<>();

    /** The most requests that may run at a target before it was asked. */
    private static final int UNKNOWN = 1_000_000;

    /** The requests that may run without being reported by an instance. They only ever end. */
    private int orphans = UNKNOWN;

    /** The monotonic time of the last event after which requests may run without being reported, in nanoseconds. */
    private long orphanedAt;

    /** The monotonic time until which nothing is added to what instances hold, in nanoseconds. */
    private final long settledAt;

    /** The capacity that the target reported last. */
    private int reportedCapacity = Integer.MAX_VALUE;

    /**
     * Creates a ledger.
     *
     * @param settledAt The monotonic time until which nothing is added to what instances hold, in nanoseconds.
     * @param now The present monotonic time in nanoseconds.
     */
    PermitLedger(long settledAt, long now) {
        this.settledAt = settledAt;
        orphanedAt = settledAt;
        warmth = new TargetWarmth(now);
    }

    /**
     * Returns the warmth.
     *
     * @return The warmth.
     */
    TargetWarmth warmth() {
        return warmth;
    }

    /**
     * Notes a report of an instance, and lends to it anew.
     *
     * @param from The instance.
     * @param report The report.
     * @param target The target.
     * @param preset The preset in force.
     * @param now The present monotonic time in nanoseconds.
     * @return What it gets.
     */
    PermitGrant lend(InstanceId from, PermitReport report, Target target, Preset preset, long now) {
        expire(now);
        Holder holder = holders.computeIfAbsent(from, id -> new Holder());
        holder.report(report, now);
        int capacity = capacity(target, now);
        Division division = divide(capacity - orphans(now), capacity, preset);
        int room = Math.max(0, capacity - orphans(now) - boundsWithout(from));
        int ceiling = settled(now) ? room : Math.min(room, report.heldPermits());
        int online = Math.min(division.online.getOrDefault(from, 0), ceiling);
        int batch = Math.min(division.batch.getOrDefault(from, 0), ceiling - online);
        int ahead = report.onlineUse() > 0 ? Math.max(1, report.onlineUse() / AHEAD_DIVISOR) : 0;
        int running = Math.max(batch, Math.min(report.batchUse(), ceiling - online));
        int spare = Math.min(ahead, (ceiling - online - running) / 2);
        int total = online + running + spare;
        holder.granted = total;
        return new PermitGrant(
                target.id(), total, batch, capacity, use() - report.use(), warmth.mark(), warmth.warmMillis(now));
    }

    /**
     * Returns what instances must give back so that online requests of others can run: first what they do not use,
     * then batch.
     *
     * @param target The target.
     * @param preset The preset in force.
     * @param now The present monotonic time in nanoseconds.
     * @return The lowered grants by instance.
     */
    Map<InstanceId, PermitGrant> recalls(Target target, Preset preset, long now) {
        expire(now);
        int capacity = capacity(target, now);
        Division division = divide(capacity - orphans(now), capacity, preset);
        int unmet = holders.entrySet().stream()
                .mapToInt(entry -> division.online.getOrDefault(entry.getKey(), 0)
                        - entry.getValue().bound())
                .filter(missing -> missing > 0)
                .sum();
        Map<InstanceId, PermitGrant> recalls = new TreeMap<>();
        if (bounds() + orphans(now) + unmet <= capacity) {
            return recalls;
        }
        holders.forEach((id, holder) -> {
            int batch = division.batch.getOrDefault(id, 0);
            int total = division.online.getOrDefault(id, 0) + batch;
            if (holder.bound() > total && holder.recalledTo != total) {
                holder.recalledTo = total;
                recalls.put(id, new PermitGrant(target.id(), total, batch, capacity, use() - holder.use(), "", 0));
            }
        });
        return recalls;
    }

    /**
     * Notes a report of load of the target.
     *
     * @param load The report.
     * @param sampledAt The monotonic time at which it was made, in nanoseconds.
     * @param now The present monotonic time in nanoseconds.
     * @return Whether the target counts as cold because of it.
     */
    boolean recordLoad(LoadReport load, long sampledAt, long now) {
        reportedCapacity = load.capacity() > 0 ? load.capacity() : Integer.MAX_VALUE;
        if (sampledAt - orphanedAt > 0 && now - orphanedAt < ORPHAN_NANOS) {
            orphans = Math.clamp(load.running() + load.waiting() - (long) use(), 0, orphans);
        }
        return warmth.recordLoad(load.startMark(), sampledAt, now);
    }

    /**
     * Returns the sum of the most that all instances may use.
     *
     * @return The sum.
     */
    int bounds() {
        return holders.values().stream().mapToInt(Holder::bound).sum();
    }

    /**
     * Returns the requests that may run without being reported. They do not count before permits are added.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return The requests.
     */
    private int orphans(long now) {
        return settled(now) ? orphans : 0;
    }

    /**
     * Returns whether permits may be added to what instances hold.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return Whether earlier permits have lapsed, and requests that still run under them are known.
     */
    private boolean settled(long now) {
        long since = now - settledAt;
        return since >= 0 && (orphans < UNKNOWN || since >= LOAD_NANOS);
    }

    /**
     * Returns what the target bears now.
     *
     * @param target The target.
     * @param now The present monotonic time in nanoseconds.
     * @return The requests that it bears at once.
     */
    private int capacity(Target target, long now) {
        return Math.min(reportedCapacity, warmth.capacity(target, now));
    }

    /**
     * Divides what the target bears between the instances, online first.
     *
     * @param free What is left of it beside requests that nobody reported.
     * @param capacity What the target bears.
     * @param preset The preset in force.
     * @return The division.
     */
    private Division divide(int free, int capacity, Preset preset) {
        Map<InstanceId, Integer> online = new HashMap<>();
        Map<InstanceId, Integer> batch = new HashMap<>();
        holders.forEach((id, holder) -> {
            online.put(id, holder.last.onlineUse() + holder.last.onlineWanted());
            batch.put(id, holder.last.batchUse() + holder.last.batchWanted());
        });
        Map<InstanceId, Integer> onlineShares = FairShares.divide(online, free);
        int taken = onlineShares.values().stream().mapToInt(Integer::intValue).sum();
        double behindReserve = free - capacity * preset.onlineReserve() - taken;
        int forBatch = (int) Math.floor(Math.min(capacity * preset.batchShare(), behindReserve));
        return new Division(onlineShares, FairShares.divide(batch, forBatch));
    }

    /**
     * Forgets the instances whose leases lapsed; what they ran counts until a report of load says otherwise.
     *
     * @param now The present monotonic time in nanoseconds.
     */
    private void expire(long now) {
        holders.values().removeIf(holder -> {
            boolean lapsed = now - holder.heardAt >= PermitSteward.LEASE_NANOS;
            if (lapsed && holder.bound() > 0) {
                orphans += holder.bound();
                orphanedAt = now;
            }
            return lapsed;
        });
        boolean unanswered = orphans >= UNKNOWN && now - settledAt >= LOAD_NANOS;
        if (unanswered || now - orphanedAt >= ORPHAN_NANOS) {
            orphans = 0;
        }
    }

    /**
     * Returns the sum of the most that the other instances may use.
     *
     * @param from The instance that is left out.
     * @return The sum.
     */
    private int boundsWithout(InstanceId from) {
        return holders.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(from))
                .mapToInt(entry -> entry.getValue().bound())
                .sum();
    }

    /**
     * Returns the requests that run, as they were reported.
     *
     * @return The requests that run.
     */
    private int use() {
        return holders.values().stream().mapToInt(Holder::use).sum();
    }

    /**
     * A division of what a target bears.
     *
     * @param online The part of each instance for online requests.
     * @param batch The part of each instance for batch requests.
     */
    private record Division(Map<InstanceId, Integer> online, Map<InstanceId, Integer> batch) {}

    /** An instance that holds or wants permits. */
    private static final class Holder {

        /** The last report. */
        private PermitReport last = PermitReport.none();

        /** What was granted since the last report. */
        private int granted;

        /** The monotonic time of the last report in nanoseconds. */
        private long heardAt;

        /** The total to which permits were recalled since the last report, or -1. */
        private int recalledTo = -1;

        /**
         * Notes a report. An answer to an earlier one that was not applied by then is void.
         *
         * @param report The report.
         * @param now The present monotonic time in nanoseconds.
         */
        private void report(PermitReport report, long now) {
            last = report;
            heardAt = now;
            recalledTo = -1;
            granted = 0;
        }

        /**
         * Returns the most that the instance may use.
         *
         * @return The most that it may use.
         */
        private int bound() {
            return Math.max(granted, Math.max(last.heldPermits(), last.use()));
        }

        /**
         * Returns the requests that run.
         *
         * @return The requests that run.
         */
        private int use() {
            return last.use();
        }
    }
}
