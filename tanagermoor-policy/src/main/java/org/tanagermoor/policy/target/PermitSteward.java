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
 * The steward's side of the permits of many targets. The caller asks it only while this instance has standing. Not safe
 * for use by several threads.
 */
public final class PermitSteward {

    /** The time after which a lease has lapsed, seen from the steward, in nanoseconds. */
    public static final long LEASE_NANOS = 1_000_000_000;

    /** The time for which a lease is valid, from the message that asked for it, in nanoseconds. */
    public static final long USABLE_NANOS = 900_000_000;

    /** The most instances, with those that left, of which the last message is remembered. */
    private static final int ANSWERED_MOST = 4_096;

    /** The tenure. */
    private final Tenure<TargetId> tenure;

    /** The ledgers of the targets. */
    private final Map<TargetId, PermitLedger> ledgers = new HashMap<>();

    /** The number of the last message of each instance. */
    private final Map<InstanceId, Long> answered = new HashMap<>();

    /** The targets of which nothing is lent. */
    private final Set<TargetId> withheld = new HashSet<>();

    /** The adopted configuration. */
    private Configuration configuration = Configuration.EMPTY;

    /**
     * Creates a steward.
     *
     * @param self The identity of this instance.
     */
    private PermitSteward(InstanceId self) {
        tenure = Tenure.of(self, PermitSteward::steward);
    }

    /**
     * Returns a steward that lends nothing yet.
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
     * @return The steward, if there is one.
     */
    public static Optional<InstanceId> steward(TargetId target, View view) {
        return Rendezvous.steward("target/" + target, view).map(Member::id);
    }

    /**
     * Returns the steward of a target in the view that was adopted last.
     *
     * @param target The target.
     * @return The steward, if there is one.
     */
    public Optional<InstanceId> steward(TargetId target) {
        return tenure.steward(target);
    }

    /**
     * Adopts a configuration.
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
            forget(value.view());
        }
    }

    /**
     * Forgets the messages of instances that left long ago. One that returns at once must not be judged by a report
     * that it sent before.
     *
     * @param view The view.
     */
    private void forget(View view) {
        if (answered.size() > ANSWERED_MOST) {
            answered.keySet().removeIf(id -> view.member(id).isEmpty());
        }
    }

    /**
     * Notes that the adopted view is accepted.
     *
     * @param now The present monotonic time in nanoseconds.
     */
    public void accept(long now) {
        tenure.accept(now);
    }

    /**
     * Returns the targets of which this instance is the steward.
     *
     * @return The targets, in the order of their names.
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
     * Answers the reports of an instance. A message that is repeated, or comes after a later one, gets nothing.
     *
     * @param from The instance.
     * @param sequence The number of the message, which grows with each message of the instance.
     * @param reports The reports.
     * @param now The present monotonic time in nanoseconds.
     * @return The grants; a target of which this instance is not the steward has none.
     */
    public List<PermitGrant> answer(InstanceId from, long sequence, List<PermitReport> reports, long now) {
        boolean member = tenure.view().member(from).isPresent();
        List<PermitGrant> grants = new ArrayList<>();
        if (!member || sequence <= answered.getOrDefault(from, 0L)) {
            return grants;
        }
        answered.put(from, sequence);
        for (PermitReport report : reports) {
            Target target = configuration.targets().get(report.target()).getOrNull();
            PermitLedger ledger = target == null ? null : ledger(report.target(), now);
            if (target != null && ledger != null) {
                ledger.warmth().see(report.signs(), now);
                PermitGrant grant = ledger.lend(from, report, target, configuration.preset(), now);
                boolean none = configuration.isTakenOut(target.domain()) || withheld.contains(target.id());
                grants.add(none ? none(grant) : grant);
            }
        }
        return grants;
    }

    /**
     * Returns what instances must give back.
     *
     * @param now The present monotonic time in nanoseconds.
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
     * Notes a report of load.
     *
     * @param target The target.
     * @param load The report.
     * @param sampledAt The monotonic time at which it was made, in nanoseconds.
     * @param now The present monotonic time in nanoseconds.
     * @return Whether the target counts as cold because of it.
     */
    public boolean seeLoad(TargetId target, LoadReport load, long sampledAt, long now) {
        PermitLedger ledger = ledger(target, now);
        return ledger != null && ledger.seeLoad(load, sampledAt, now);
    }

    /**
     * Lends nothing of a target, or lends it again. A target that is lent again counts as cold.
     *
     * @param target The target.
     * @param value Whether nothing is lent.
     * @param now The present monotonic time in nanoseconds.
     */
    public void withhold(TargetId target, boolean value, long now) {
        if (value) {
            withheld.add(target);
        } else if (withheld.remove(target) && ledgers.containsKey(target)) {
            ledgers.get(target).warmth().chill(now);
        }
    }

    /**
     * Returns the sum of the most that all instances may use of a target.
     *
     * @param target The target.
     * @return The sum, 0 where nothing is known.
     */
    public int bounds(TargetId target) {
        PermitLedger ledger = ledgers.get(target);
        return ledger == null ? 0 : ledger.bounds();
    }

    /**
     * Returns the ledger of a target.
     *
     * @param target The target.
     * @param now The present monotonic time in nanoseconds.
     * @return The ledger, or {@code null} if this instance may not lend its permits, or not yet.
     */
    @Nullable
    private PermitLedger ledger(TargetId target, long now) {
        if (!tenure.isSteward(target) || !configuration.targets().containsKey(target)) {
            return null;
        }
        PermitLedger ledger = ledgers.get(target);
        OptionalLong since = tenure.since(target);
        if (ledger == null && since.isPresent()) {
            ledger = new PermitLedger(since.getAsLong() + LEASE_NANOS, now);
            ledgers.put(target, ledger);
        }
        return ledger;
    }

    /**
     * Returns a grant of nothing.
     *
     * @param grant The grant whose other fields it has.
     * @return A grant of nothing.
     */
    private static PermitGrant none(PermitGrant grant) {
        return new PermitGrant(
                grant.target(), 0, 0, grant.capacity(), grant.othersUse(), grant.mark(), grant.warmMillis());
    }
}
