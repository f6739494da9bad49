package org.tanagermoor.policy.fleet;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import java.util.List;
import java.util.Optional;

/**
 * The membership view: the instances that form the fleet at a version of the configuration.
 *
 * @param version The version of the configuration that last changed the view; 0 for the empty view.
 * @param members The members by identity.
 */
public record View(long version, SortedMap<InstanceId, Member> members) {

    /** The view without members, in force before the first instance joins. */
    public static final View EMPTY = new View(0, TreeMap.empty());

    /**
     * Returns a view of the given members.
     *
     * @param version The version of the configuration that made the view.
     */
    public static View of(long version, Iterable<Member> members) {
        SortedMap<InstanceId, Member> map = TreeMap.empty();
        for (Member member : members) {
            map = map.put(member.id(), member);
        }
        return new View(version, map);
    }

    /**
     * Returns this view with a member added, or replaced if the view has a member with this identity.
     *
     * @param newVersion The version of the configuration that makes the change.
     */
    public View withMember(long newVersion, Member member) {
        return new View(newVersion, members.put(member.id(), member));
    }

    /**
     * Returns this view without a member.
     *
     * @param newVersion The version of the configuration that makes the change.
     */
    public View withoutMember(long newVersion, InstanceId id) {
        return new View(newVersion, members.remove(id));
    }

    /** Returns the member with an identity, or empty if it is not in this view. */
    public Optional<Member> member(InstanceId id) {
        return members.get(id).toJavaOptional();
    }

    /** Returns the identities of all members in their natural order. */
    public List<InstanceId> ids() {
        return members.keySet().toJavaList();
    }

    /** Returns the least number of members that form a majority. */
    public int majority() {
        return members.size() / 2 + 1;
    }
}
