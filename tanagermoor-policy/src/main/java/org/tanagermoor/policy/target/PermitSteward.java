package org.tanagermoor.policy.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.configuration.Target;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.Rendezvous;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.fleet.Tenure;
import org.tanagermoor.policy.fleet.View;

/**
 * Lends the permits of the targets of which this instance is the steward. Every target has one steward, which divides
 * its capacity between all instances. The caller uses this class only while this instance has standing, that is, while
 * its configuration is known to be in force. Not thread-safe.
 */
public final class PermitSteward {

    /** The time after the last report of an instance at which its lease has expired for the steward, in nanoseconds. */
    public static final long STEWARD_LEASE_NANOS = 1_000_000_000;

    /** The time after sending its report for which an instance may use the permits of the answer, in nanoseconds. */
    public static final long HOLDER_LEASE_NANOS = 900_000_000;

    /**
     * The number of instances, including those that left, above which the sequence numbers of departed instances are
     * removed.
     */
    private static final int MAX_REMEMBERED_INSTANCES = 4_096;

    private final Tenure<TargetId> tenure;

    private final Map<TargetId, PermitLedger> ledgers = new HashMap<>();

    /** The sequence number of the last message by instance. */
    private final Map<InstanceId, Long> lastSequences = new HashMap<>();

    /** The targets whose permits are withheld from all instances. */
    private final Set<TargetId> withheld = new HashSet<>();

    /** The configuration that was adopted last. */
    private Configuration configuration = Configuration.EMPTY;

    private PermitSteward(InstanceId self) {
        tenure = Tenure.of(self, PermitSteward::steward);
    }

    /**
     * Creates a steward that has not lent any permits.
     *
     * @param self The identity of this instance.
     * @return A steward.
     */
    public static PermitSteward of(InstanceId self) {
        return new PermitSteward(self);
    }

    /**
     * Returns the steward of a target in a view.
     *
     * @param target The target.
     * @param view The view.
     * @return The steward, or empty if the view has none.
     */
    public static Optional<InstanceId> steward(TargetId target, View view) {
        return Rendezvous.steward("target/" + target, view).map(Member::id);
    }

    /**
     * Returns the steward of a target in the view that was adopted last.
     *
     * @param target The target.
     * @return The steward, or empty if the view has none.
     */
    public Optional<InstanceId> steward(TargetId target) {
        return tenure.steward(target);
    }

    /**
     * Adopts a configuration and drops the ledgers of targets that this instance is no longer the steward of.
     *
     * @param value The configuration.
     */
    public void adopt(Configuration value) {
        boolean viewChanged = value.view().version() != configuration.view().version();
        configuration = value;
        if (!tenure.adopt(value)) {
            ledgers.clear();
        }
        ledgers.keySet().removeIf(id -> !value.targets().containsKey(id));
        if (viewChanged) {
            ledgers.keySet().removeIf(id -> !tenure.isSteward(id));
            forgetDeparted(value.view());
        }
    }

    /**
     * Removes the sequence numbers of instances that are no longer members, once there are too many. They are kept at
     * first, because an instance that rejoins soon must not be judged by a delayed report from before it left.
     *
     * @param view The adopted view.
     */
    private void forgetDeparted(View view) {
        if (lastSequences.size() > MAX_REMEMBERED_INSTANCES) {
            lastSequences.keySet().removeIf(id -> view.member(id).isEmpty());
        }
    }

    /**
     * Records that the adopted view is accepted.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public void accept(long now) {
        tenure.accept(now);
    }

    /**
     * Returns the targets of which this instance is the steward.
     *
     * @return The targets, sorted by name.
     */
    public List<Target> targets() {
        return configuration
                .targets()
                .values()
                .filter(target -> tenure.isSteward(target.id()))
                .sortBy(Target::id)
                .toJavaList();
    }

    /**
     * Answers the reports of an instance. A message that is repeated or arrives after a later one gets no grants.
     *
     * @param from The instance.
     * @param sequence The sequence number of the message, which grows with each message of the instance.
     * @param reports The reports.
     * @param now The current monotonic time in nanoseconds.
     * @return The grants; there is none for a target of which this instance is not the steward.
     */
    public List<PermitGrant> answer(InstanceId from, long sequence, List<PermitReport> reports, long now) {
        boolean member = tenure.view().member(from).isPresent();
        List<PermitGrant> grants = new ArrayList<>();
        if (!member || sequence <= lastSequences.getOrDefault(from, 0L)) {
            return grants;
        }
        lastSequences.put(from, sequence);
        for (PermitReport report : reports) {
            Target target = configuration.targets().get(report.target()).getOrNull();
            PermitLedger ledger = target == null ? null : ledger(report.target(), now);
            if (target != null && ledger != null) {
                ledger.warmth().recordSigns(report.coldSigns(), now);
                PermitGrant grant = ledger.lend(from, report, target, configuration.preset(), now);
                boolean zeroed = configuration.isTakenOut(target.domain()) || withheld.contains(target.id());
                grants.add(zeroed ? zeroed(grant) : grant);
            }
        }
        return grants;
    }

    /**
     * Returns the grants that instances must lower so that online requests of other instances can run.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The lowered grants by instance.
     */
    public Map<InstanceId, List<PermitGrant>> recalls(long now) {
        Map<InstanceId, List<PermitGrant>> recalls = new TreeMap<>();
        ledgers.forEach((id, ledger) -> {
            Target target = configuration.targets().get(id).getOrNull();
            if (target != null) {
                ledger.recalls(target, configuration.preset(), now)
                        .forEach((holder, grant) -> recalls.computeIfAbsent(holder, missing -> new ArrayList<>())
                                .add(grant));
            }
        });
        return recalls;
    }

    /**
     * Records a load report of a target.
     *
     * @param target The target.
     * @param load The report.
     * @param sampledAt The monotonic time at which it was made, in nanoseconds.
     * @param now The current monotonic time in nanoseconds.
     * @return Whether the target counts as cold because of it.
     */
    public boolean recordLoad(TargetId target, LoadReport load, long sampledAt, long now) {
        PermitLedger ledger = ledger(target, now);
        return ledger != null && ledger.recordLoad(load, sampledAt, now);
    }

    /**
     * Withholds the permits of a target, or lends them again. A target whose permits are lent again counts as cold.
     *
     * @param target The target.
     * @param value Whether the permits are withheld.
     * @param now The current monotonic time in nanoseconds.
     */
    public void withhold(TargetId target, boolean value, long now) {
        if (value) {
            withheld.add(target);
        } else if (withheld.remove(target) && ledgers.containsKey(target)) {
            ledgers.get(target).warmth().markCold(now);
        }
    }

    /**
     * Returns the sum of the upper bounds of all instances: the maximum number of requests that may run on a target
     * under their permits.
     *
     * @param target The target.
     * @return The sum, 0 if the target has no ledger.
     */
    public int totalBound(TargetId target) {
        PermitLedger ledger = ledgers.get(target);
        return ledger == null ? 0 : ledger.totalBound();
    }

    /**
     * Returns the ledger of a target, and creates it if this instance may lend the permits of the target.
     *
     * @param target The target.
     * @param now The current monotonic time in nanoseconds.
     * @return The ledger, or {@code null} if this instance may not, or not yet, lend its permits.
     */
    @Nullable
    private PermitLedger ledger(TargetId target, long now) {
        if (!tenure.isSteward(target) || !configuration.targets().containsKey(target)) {
            return null;
        }
        PermitLedger ledger = ledgers.get(target);
        OptionalLong since = tenure.since(target);
        if (ledger == null && since.isPresent()) {
            ledger = new PermitLedger(since.getAsLong() + STEWARD_LEASE_NANOS, now);
            ledgers.put(target, ledger);
        }
        return ledger;
    }

    /**
     * Returns a copy of a grant without any permits.
     *
     * @param grant The grant whose other fields are copied.
     * @return A grant of no permits.
     */
    private static PermitGrant zeroed(PermitGrant grant) {
        return new PermitGrant(
                grant.target(), 0, 0, grant.capacity(), grant.othersUse(), grant.mark(), grant.warmMillis());
    }
}
