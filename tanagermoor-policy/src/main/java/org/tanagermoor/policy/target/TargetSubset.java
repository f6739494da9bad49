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
 * The targets that an instance uses. If a service has many targets, an instance uses only a subset of them: targets
 * with the same steward and failure domain form a group, and each group is used by the same number of instances,
 * preferably instances in the failure domain of the group. An instance whose subset is too small also uses the targets
 * of the groups for which it has the highest weight. Not thread-safe.
 */
public final class TargetSubset {

    /**
     * The mean number of targets in the subset of a service; all instances use all targets of a service that has no
     * more.
     */
    static final int MEAN_SIZE = 64;

    /** The minimum number of targets in the subset of a service that has more targets. */
    static final int MIN_SIZE = MEAN_SIZE / 2;

    /** This instance, or empty if it uses all targets. */
    private final Optional<Member> self;

    /** Returns the steward of a target in the adopted view. */
    private final Function<TargetId, Optional<InstanceId>> stewards;

    /**
     * The rank of this instance for the groups in its failure domain and for the groups that lack instances in theirs.
     */
    private final java.util.Map<Group, Integer> ranks = new HashMap<>();

    /** The targets in the subset. */
    private final Set<TargetId> used = new HashSet<>();

    /** The view that was adopted last. */
    private View view = View.EMPTY;

    /** The members of the adopted view that are not leaving. */
    private List<Member> remainingMembers = List.of();

    /** The number of these members in each failure domain. */
    private final java.util.Map<FailureDomain, Integer> memberCounts = new HashMap<>();

    private Map<TargetId, Target> targets = io.vavr.collection.HashMap.empty();

    /** The failure domains that the adopted configuration takes out of service. */
    private io.vavr.collection.Set<FailureDomain> domainsOut = io.vavr.collection.HashSet.empty();

    private TargetSubset(Optional<Member> self, Function<TargetId, Optional<InstanceId>> stewards) {
        this.self = self;
        this.stewards = stewards;
    }

    /**
     * Creates the subset of an instance, which is empty until a configuration is adopted.
     *
     * @param self The instance.
     * @param stewards Returns the steward of a target in the view that the subset adopts.
     * @return The subset.
     */
    public static TargetSubset of(Member self, Function<TargetId, Optional<InstanceId>> stewards) {
        return new TargetSubset(Optional.of(self), stewards);
    }

    /**
     * Creates a subset that contains all targets, regardless of their number.
     *
     * @return The subset.
     */
    public static TargetSubset ofAll() {
        return new TargetSubset(Optional.empty(), target -> Optional.empty());
    }

    /**
     * Adopts a configuration, and selects the targets again if the view, the targets or the failure domains in service
     * have changed.
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

    private void adopt(View value) {
        view = value;
        remainingMembers =
                value.members().values().filter(member -> !member.leaving()).toJavaList();
        ranks.clear();
        memberCounts.clear();
        remainingMembers.forEach(member -> memberCounts.merge(member.domain(), 1, Integer::sum));
    }

    /**
     * Returns whether this instance uses a target.
     *
     * @param target The target.
     * @return Whether it uses it.
     */
    public boolean includes(TargetId target) {
        return used.contains(target);
    }

    /**
     * Selects the targets of one service.
     *
     * @param service The targets of the service.
     * @param configuration The configuration.
     */
    private void add(List<Target> service, Configuration configuration) {
        int usersPerTarget = Math.ceilDiv(MEAN_SIZE * remainingMembers.size(), service.size());
        if (self.isEmpty() || usersPerTarget >= remainingMembers.size()) {
            service.forEach(target -> used.add(target.id()));
            return;
        }
        List<Target> others = new ArrayList<>();
        int usable = 0;
        for (Target target : service) {
            boolean selected = rank(target, self.get(), usersPerTarget) < usersPerTarget;
            boolean domainOut = configuration.isOut(target.domain());
            if (selected) {
                used.add(target.id());
                usable += domainOut ? 0 : 1;
            } else if (!domainOut) {
                others.add(target);
            }
        }
        if (usable < MIN_SIZE) {
            addPreferred(others, MIN_SIZE - usable, self.get());
        }
    }

    /**
     * Adds the targets of the groups for which this instance has the highest weight, those in its failure domain first.
     *
     * @param others The targets that are not in the subset.
     * @param missing The number of targets to add.
     * @param member This instance.
     */
    private void addPreferred(List<Target> others, int missing, Member member) {
        java.util.Map<Group, Long> weights = new HashMap<>();
        others.forEach(target -> weights.computeIfAbsent(group(target), group -> weight(group, member)));
        others.sort(Comparator.comparing((Target target) -> !target.domain().equals(member.domain()))
                .thenComparing(target -> weights.get(group(target)), Comparator.reverseOrder())
                .thenComparing(Target::id));
        others.stream().limit(missing).forEach(target -> used.add(target.id()));
    }

    /**
     * Returns how many instances precede this one in the choice of users of a target.
     *
     * @param target The target.
     * @param member This instance.
     * @param usersPerTarget The number of instances that use each target.
     * @return The number of preceding instances; where it would be at least {@code usersPerTarget}, it may be any
     *     number from there on.
     */
    private int rank(Target target, Member member, int usersPerTarget) {
        boolean sameDomain = member.domain().equals(target.domain());
        int closerMembers = sameDomain ? 0 : memberCounts.getOrDefault(target.domain(), 0);
        if (closerMembers >= usersPerTarget) {
            return usersPerTarget;
        }
        return ranks.computeIfAbsent(group(target), group -> rank(group, closerMembers, member));
    }

    /**
     * Returns how many instances precede this one in the choice of users of a group.
     *
     * @param group The group.
     * @param closerMembers The number of instances that precede because they are in the failure domain of the group.
     * @param member This instance.
     * @return The number of preceding instances.
     */
    private int rank(Group group, int closerMembers, Member member) {
        long ownWeight = weight(group, member);
        boolean sameDomain = group.domain.equals(member.domain().toString());
        long heavierMembers = remainingMembers.stream()
                .filter(other ->
                        sameDomain == group.domain.equals(other.domain().toString()))
                .filter(other -> weight(group, other) > ownWeight)
                .count();
        return closerMembers + (int) heavierMembers;
    }

    /**
     * Returns the rendezvous hash weight of an instance for a group.
     *
     * @param group The group.
     * @param member The instance.
     * @return The weight.
     */
    private static long weight(Group group, Member member) {
        return Rendezvous.weight(
                "subset/" + group.steward + "/" + group.domain, member.id().toString());
    }

    private Group group(Target target) {
        String steward = stewards.apply(target.id()).map(InstanceId::toString).orElse("");
        return new Group(steward, target.domain().toString());
    }

    /**
     * The key of the targets that have the same steward and failure domain.
     *
     * @param steward The steward, or empty text if there is none.
     * @param domain The failure domain.
     */
    private record Group(String steward, String domain) {}
}
