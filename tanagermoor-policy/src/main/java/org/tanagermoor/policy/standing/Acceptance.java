package org.tanagermoor.policy.standing;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.View;
import org.tanagermoor.policy.standing.StandingState.Moment;

/**
 * The way of a recorded change to its acceptance. It is accepted once every member of every view of the chain has
 * adopted it, or once a majority of each view has and the window has passed since.
 *
 * <p>A majority is counted in seats. A member that starts with the name and the address of an earlier incarnation takes
 * over its seat: it could not listen on that address while the earlier one still did, so nobody has heard from the
 * earlier one since.
 *
 * @param version The version that the change made.
 * @param chain The views that count, the last of them in force at {@code version} or later.
 * @param adopted The members that are known to have adopted the version or a larger one.
 * @param missing The members of all views of the chain that are not known to have adopted it.
 * @param majority The moment at which majorities were first known to have adopted it.
 */
public record Acceptance(
        long version, ViewChain chain, Set<InstanceId> adopted, Set<InstanceId> missing, Moment majority) {

    /**
     * Returns the state right after the record of a change.
     *
     * @param version The version that the change made.
     * @param chain The views that count.
     * @return A state in which nobody is known to have adopted the version.
     */
    public static Acceptance of(long version, ViewChain chain) {
        return new Acceptance(version, chain, HashSet.empty(), members(chain), Moment.NEVER);
    }

    /**
     * Returns the state after a member told of the version that it has adopted.
     *
     * @param member The identity of the member.
     * @param memberVersion The version that it has adopted.
     * @return The state after a member told of its version.
     */
    public Acceptance withAdopted(InstanceId member, long memberVersion) {
        return memberVersion < version || adopted.contains(member)
                ? this
                : new Acceptance(version, chain, adopted.add(member), missing.remove(member), majority);
    }

    /**
     * Returns the state after the majorities were counted.
     *
     * @param now The present time.
     * @return The state, which keeps the time from the first call at which majorities had adopted the version.
     */
    public Acceptance withMajorityChecked(long now) {
        if (majority.known() || adopted.size() < chain.last().majority()) {
            return this;
        }
        Set<Seat> seats = chain.views()
                .flatMap(view -> view.members().values())
                .filter(member -> adopted.contains(member.id()))
                .map(Seat::of)
                .toSet();
        boolean reached = chain.views().forAll(view -> hasMajority(view, seats));
        return reached ? new Acceptance(version, chain, adopted, missing, Moment.of(now)) : this;
    }

    /**
     * Returns whether the change is accepted.
     *
     * @param now The present time.
     * @param windowNanos The freshness window in nanoseconds, with the bound of the drift between clocks.
     * @return Whether no instance with standing acts on an earlier version any more.
     */
    public boolean accepted(long now, long windowNanos) {
        boolean waited = majority.known() && now - majority.nanos() > windowNanos;
        return waited || missing.isEmpty();
    }

    /**
     * Returns the state after an earlier version is known to be accepted, so that fewer views count.
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

    /**
     * Returns the members of a chain.
     *
     * @param chain The chain.
     * @return The members of all its views.
     */
    private static Set<InstanceId> members(ViewChain chain) {
        Set<InstanceId> result = HashSet.empty();
        for (View view : chain.views()) {
            result = result.union(view.members().keySet());
        }
        return result;
    }

    /**
     * Returns whether a majority of a view is in a set; the view without members needs none.
     *
     * @param view The view.
     * @param seats The set.
     * @return Whether a majority is in it.
     */
    private static boolean hasMajority(View view, Set<Seat> seats) {
        return view.members().isEmpty()
                || view.members().values().count(member -> seats.contains(Seat.of(member))) >= view.majority();
    }

    /**
     * The place of a member that its later incarnations take over.
     *
     * @param name The name of the instance.
     * @param address The address for other instances.
     */
    private record Seat(String name, Address address) {

        /**
         * Returns the seat of a member.
         *
         * @param member The member.
         * @return Its seat.
         */
        static Seat of(Member member) {
            return new Seat(member.id().name(), member.peerAddress());
        }
    }
}
