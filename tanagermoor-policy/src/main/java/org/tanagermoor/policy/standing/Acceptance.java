package org.tanagermoor.policy.standing;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.View;
import org.tanagermoor.policy.standing.StandingState.Moment;

/**
 * The progress of a recorded change towards its acceptance. The change is accepted once every member of every view of
 * the chain has adopted it, or once a majority of each view has adopted it and the freshness window has passed since.
 *
 * <p>Majorities are counted by endpoint, that is, by name and address. A member that starts with the name and the
 * address of an earlier incarnation takes its place: it could not listen on that address while the earlier incarnation
 * still did, so no peer has received anything from the earlier one since.
 *
 * @param version The version that the change made.
 * @param chain The views in which members are counted; the last one is in force at {@code version} or later.
 * @param adopted The members that are known to have adopted the version or a later one.
 * @param missing The members of all views of the chain that are not known to have adopted it.
 * @param majority The time at which a majority of each view was first known to have adopted the version.
 */
public record Acceptance(
        long version, ViewChain chain, Set<InstanceId> adopted, Set<InstanceId> missing, Moment majority) {

    /**
     * Returns the state right after a change was recorded, in which no member is known to have adopted the version.
     *
     * @param version The version that the change made.
     * @param chain The views in which members are counted.
     */
    public static Acceptance of(long version, ViewChain chain) {
        return new Acceptance(version, chain, HashSet.empty(), members(chain), Moment.NEVER);
    }

    /**
     * Returns the state after a member reported the version that it has adopted.
     *
     * @param memberVersion The adopted version; an earlier one than that of the change has no effect.
     */
    public Acceptance withAdopted(InstanceId member, long memberVersion) {
        return memberVersion < version || adopted.contains(member)
                ? this
                : new Acceptance(version, chain, adopted.add(member), missing.remove(member), majority);
    }

    /**
     * Returns the state after the majorities were checked. The time of the first check that finds majorities in all
     * views is kept.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public Acceptance withMajorityChecked(long now) {
        if (majority.known() || adopted.size() < chain.last().majority()) {
            return this;
        }
        Set<Endpoint> endpoints = chain.views()
                .flatMap(view -> view.members().values())
                .filter(member -> adopted.contains(member.id()))
                .map(Endpoint::of)
                .toSet();
        boolean reached = chain.views().forAll(view -> hasMajority(view, endpoints));
        return reached ? new Acceptance(version, chain, adopted, missing, Moment.of(now)) : this;
    }

    /**
     * Returns whether the change is accepted, so that no instance with standing acts on an earlier version any more.
     *
     * @param now The current monotonic time in nanoseconds.
     * @param windowNanos The freshness window in nanoseconds, including the bound of the drift between clocks.
     */
    public boolean accepted(long now, long windowNanos) {
        boolean waited = majority.known() && now - majority.nanos() > windowNanos;
        return waited || missing.isEmpty();
    }

    /**
     * Returns the state after an earlier version is known to be accepted, so that fewer views are counted.
     *
     * @param earlier The version that is accepted.
     * @return The state with a chain that begins with the view in force at that version.
     */
    public Acceptance withAccepted(long earlier) {
        ViewChain shorter = chain.withAccepted(earlier);
        return shorter.views().size() == chain.views().size()
                ? this
                : new Acceptance(version, shorter, adopted, members(shorter).removeAll(adopted), majority);
    }

    /** Returns the union of the members over all views of a chain. */
    private static Set<InstanceId> members(ViewChain chain) {
        Set<InstanceId> result = HashSet.empty();
        for (View view : chain.views()) {
            result = result.union(view.members().keySet());
        }
        return result;
    }

    /** Returns whether a majority of a view has an endpoint in a set; the view without members needs none. */
    private static boolean hasMajority(View view, Set<Endpoint> endpoints) {
        return view.members().isEmpty()
                || view.members().values().count(member -> endpoints.contains(Endpoint.of(member))) >= view.majority();
    }

    /**
     * The name and address that later incarnations of a member share with it.
     *
     * @param name The name of the instance.
     * @param address The address for other instances.
     */
    private record Endpoint(String name, Address address) {

        static Endpoint of(Member member) {
            return new Endpoint(member.id().name(), member.peerAddress());
        }
    }
}
