package org.tanagermoor.policy.target;

import io.vavr.collection.Map;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.configuration.Target;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.Rendezvous;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.fleet.View;

/**
 * The targets that an instance uses. Of a service with many targets it is a subset: targets with the same steward and
 * failure domain form a group, and each group is used by the same number of instances, those of its failure domain
 * first. An instance whose subset is small adds the targets of groups that rank first for it. Not safe for use by
 * several threads.
 */
public final class TargetSubset {

    /** The mean size of the subset of a service; all instances use all targets of one that has no more. */
    static final int MEAN = 64;

    /** The least size of the subset of a service that has more targets. */
    static final int LEAST = MEAN / 2;

    /** This instance, or nothing where it uses all targets. */
    private final Optional<Member> self;

    /** Finds the steward of a target in the adopted view. */
    private final Function<TargetId, Optional<InstanceId>> stewards;

    /** The rank of this instance for the groups whose failure domain it shares or overflows into. */
    private final java.util.Map<Group, Integer> ranks = new HashMap<>();

    /** The targets that this instance uses. */
    private final Set<TargetId> used = new HashSet<>();

    /** The adopted view. */
    private View view = View.EMPTY;

    /** The members of the adopted view that stay. */
    private List<Member> staying = List.of();

    /** The number of them in each failure domain. */
    private final java.util.Map<FailureDomain, Integer> sizes = new HashMap<>();

    /** The targets of the adopted configuration. */
    private Map<TargetId, Target> targets = io.vavr.collection.HashMap.empty();

    /** The failure domains that the adopted configuration takes out. */
    private io.vavr.collection.Set<FailureDomain> domainsOut = io.vavr.collection.HashSet.empty();

    /**
     * Creates a subset.
     *
     * @param self This instance, or nothing where it uses all targets.
     * @param stewards Finds the steward of a target in the adopted view.
     */
    private TargetSubset(Optional<Member> self, Function<TargetId, Optional<InstanceId>> stewards) {
        this.self = self;
        this.stewards = stewards;
    }

    /**
     * Returns the subset of an instance, which is empty until a configuration is adopted.
     *
     * @param self The instance.
     * @param stewards Finds the steward of a target in the view that the subset adopts.
     * @return The subset.
     */
    public static TargetSubset of(Member self, Function<TargetId, Optional<InstanceId>> stewards) {
        return new TargetSubset(Optional.of(self), stewards);
    }

    /**
     * Returns a subset that has all targets, however many there are.
     *
     * @return The subset.
     */
    public static TargetSubset ofAll() {
        return new TargetSubset(Optional.empty(), target -> Optional.empty());
    }

    /**
     * Adopts a configuration.
     *
     * @param configuration The configuration.
     */
    public void adopt(Configuration configuration) {
        boolean viewChanged = configuration.view().version() != view.version();
        boolean targetsChanged = configuration.targets() != targets;
        if (!viewChanged && !targetsChanged && configuration.domainsOut().equals(domainsOut)) {
            return;
        }
        targets = configuration.targets();
        domainsOut = configuration.domainsOut();
        if (viewChanged) {
            adopt(configuration.view());
        }
        used.clear();
        targets.values().groupBy(Target::service).values().forEach(service -> add(service.toJavaList(), configuration));
    }

    /**
     * Adopts a view.
     *
     * @param value The view.
     */
    private void adopt(View value) {
        view = value;
        staying = value.members().values().filter(member -> !member.leaving()).toJavaList();
        ranks.clear();
        sizes.clear();
        staying.forEach(member -> sizes.merge(member.domain(), 1, Integer::sum));
    }

    /**
     * Returns whether this instance uses a target.
     *
     * @param target The target.
     * @return Whether it uses it.
     */
    public boolean has(TargetId target) {
        return used.contains(target);
    }

    /**
     * Adds what this instance uses of a service.
     *
     * @param service The targets of the service.
     * @param configuration The configuration.
     */
    private void add(List<Target> service, Configuration configuration) {
        int users = Math.ceilDiv(MEAN * staying.size(), service.size());
        if (self.isEmpty() || users >= staying.size()) {
            service.forEach(target -> used.add(target.id()));
            return;
        }
        List<Target> others = new ArrayList<>();
        int usable = 0;
        for (Target target : service) {
            boolean mine = rank(target, self.get(), users) < users;
            boolean out = configuration.isTakenOut(target.domain());
            if (mine) {
                used.add(target.id());
                usable += out ? 0 : 1;
            } else if (!out) {
                others.add(target);
            }
        }
        if (usable < LEAST) {
            fill(others, LEAST - usable, self.get());
        }
    }

    /**
     * Adds the targets whose groups rank first for this instance, those of its failure domain first.
     *
     * @param others The targets that it does not use yet.
     * @param missing The number of targets to add.
     * @param member This instance.
     */
    private void fill(List<Target> others, int missing, Member member) {
        java.util.Map<Group, Long> weights = new HashMap<>();
        others.forEach(target -> weights.computeIfAbsent(group(target), group -> weight(group, member)));
        others.sort(Comparator.comparing((Target target) -> !target.domain().equals(member.domain()))
                .thenComparing(target -> weights.get(group(target)), Comparator.reverseOrder())
                .thenComparing(Target::id));
        others.stream().limit(missing).forEach(target -> used.add(target.id()));
    }

    /**
     * Returns how many instances come before this one for a target.
     *
     * @param target The target.
     * @param member This instance.
     * @param users The number of instances that use the target.
     * @return The number of instances that come before, or any number from that of the users on.
     */
    private int rank(Target target, Member member, int users) {
        boolean near = member.domain().equals(target.domain());
        int nearer = near ? 0 : sizes.getOrDefault(target.domain(), 0);
        if (nearer >= users) {
            return users;
        }
        return ranks.computeIfAbsent(group(target), group -> rank(group, nearer, member));
    }

    /**
     * Returns how many instances come before this one for a group.
     *
     * @param group The group.
     * @param nearer The instances that come before because they are in the failure domain of the group.
     * @param member This instance.
     * @return The number of instances that come before.
     */
    private int rank(Group group, int nearer, Member member) {
        long own = weight(group, member);
        boolean near = group.domain.equals(member.domain().toString());
        long better = staying.stream()
                .filter(other -> near == group.domain.equals(other.domain().toString()))
                .filter(other -> weight(group, other) > own)
                .count();
        return nearer + (int) better;
    }

    /**
     * Returns the weight of an instance for a group.
     *
     * @param group The group.
     * @param member The instance.
     * @return The weight.
     */
    private static long weight(Group group, Member member) {
        return Rendezvous.weight(
                "subset/" + group.steward + "/" + group.domain, member.id().toString());
    }

    /**
     * Returns the group of a target.
     *
     * @param target The target.
     * @return The group.
     */
    private Group group(Target target) {
        String steward = stewards.apply(target.id()).map(InstanceId::toString).orElse("");
        return new Group(steward, target.domain().toString());
    }

    /**
     * Targets with the same steward and failure domain.
     *
     * @param steward The steward.
     * @param domain The failure domain.
     */
    private record Group(String steward, String domain) {}
}
