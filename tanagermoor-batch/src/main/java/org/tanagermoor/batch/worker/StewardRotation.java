package org.tanagermoor.batch.worker;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;

/**
 * Chooses the instance that is asked for chunks next: first those that are known to have chunks, then all members in
 * turn.
 */
final class StewardRotation {

    /** Instances that may have chunks, oldest hint first. */
    private final Set<InstanceId> hinted = new LinkedHashSet<>();

    /** Index of the member that was last chosen in turn. */
    private int position;

    /** Number of answers without chunks since the last hint or answer with chunks. */
    private int empty;

    /** Records that an instance may have chunks. */
    void hint(InstanceId steward) {
        hinted.add(steward);
        empty = 0;
    }

    /**
     * Records the answer of an instance.
     *
     * @param lent Whether the instance has lent chunks.
     */
    void answered(InstanceId steward, boolean lent) {
        hinted.remove(steward);
        if (lent) {
            hint(steward);
        } else {
            empty++;
        }
    }

    /** Returns whether no hint is left and as many answers were without chunks as there are members. */
    boolean idle(List<Member> members) {
        return hinted.isEmpty() && empty >= members.size();
    }

    /**
     * Chooses the instance that is asked next. Drops hints about instances that are no longer members.
     *
     * @return The instance; empty if there are no members.
     */
    Optional<Member> next(List<Member> members) {
        for (Iterator<InstanceId> ids = hinted.iterator(); ids.hasNext(); ) {
            InstanceId id = ids.next();
            Optional<Member> member = members.stream()
                    .filter(candidate -> candidate.id().equals(id))
                    .findFirst();
            if (member.isPresent()) {
                return member;
            }
            ids.remove();
        }
        if (members.isEmpty()) {
            return Optional.empty();
        }
        position = (position + 1) % members.size();
        return Optional.of(members.get(position));
    }
}
