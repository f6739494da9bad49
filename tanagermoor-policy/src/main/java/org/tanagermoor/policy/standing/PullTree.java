package org.tanagermoor.policy.standing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.Rendezvous;
import org.tanagermoor.policy.fleet.View;

/**
 * The shallow tree along which freshness spreads. Few members, the readers, read the head row; the others pull from a
 * member of the level above. The order of the members is the same everywhere, so nothing has to be agreed.
 */
public final class PullTree {

    /** The largest view of which all members are readers. */
    public static final int MAX_SIZE_ALL_READERS = 16;

    /** The members that pull from one. */
    private static final int FAN_OUT = 4;

    /** The members of a full tree below and with one reader. */
    private static final int TREE_SIZE = 1 + FAN_OUT + FAN_OUT * FAN_OUT;

    /** The fewest readers. */
    private static final int MIN_READERS = 3;

    /** The key by which the members are ranked. */
    private static final String KEY = "freshness";

    /** The members in order: the readers, those who pull from them, and those who pull from these. */
    private final List<Member> order;

    /** The positions of the members. */
    private final Map<InstanceId, Integer> positions = new HashMap<>();

    /** The number of readers. */
    private final int readers;

    /**
     * Creates a tree.
     *
     * @param order The members in order.
     * @param readers The number of readers.
     */
    private PullTree(List<Member> order, int readers) {
        this.order = order;
        this.readers = readers;
        for (int index = 0; index < order.size(); index++) {
            positions.put(order.get(index).id(), index);
        }
    }

    /**
     * Returns the tree of a view.
     *
     * @param view The view.
     * @return The tree of a view.
     */
    public static PullTree of(View view) {
        List<Member> members = view.members().values().toJavaList();
        List<Member> order =
                Rendezvous.ranked(KEY, members, member -> member.id().toString());
        int size = order.size();
        int readers = size <= MAX_SIZE_ALL_READERS ? size : Math.max(MIN_READERS, (size + TREE_SIZE - 1) / TREE_SIZE);
        return new PullTree(order, readers);
    }

    /**
     * Returns whether a member reads the head row.
     *
     * @param id The identity of the member.
     * @return Whether it is a reader; an instance that is not in the view is one.
     */
    public boolean reads(InstanceId id) {
        return positions.getOrDefault(id, 0) < readers;
    }

    /**
     * Returns the members from which a member may pull, the preferred one first and then its stand-ins.
     *
     * @param id The identity of the member.
     * @return The other members of the level above; none for a reader.
     */
    public List<Member> parents(InstanceId id) {
        int position = positions.getOrDefault(id, 0);
        int begin = position < readers * (1 + FAN_OUT) ? 0 : readers;
        if (position < readers) {
            return List.of();
        }
        int levelSize = begin == 0 ? readers : readers * FAN_OUT;
        int first = (position - begin - levelSize) / FAN_OUT;
        List<Member> result = new ArrayList<>();
        for (int step = 0; step < levelSize; step++) {
            result.add(order.get(begin + Math.floorMod(first + step, levelSize)));
        }
        return result;
    }

    /**
     * Returns the members that pull from a member where no stand-in is needed.
     *
     * @param id The identity of the member.
     * @return The members below it.
     */
    public List<Member> children(InstanceId id) {
        int position = positions.getOrDefault(id, order.size());
        if (order.size() <= readers || position >= readers * (1 + FAN_OUT)) {
            return List.of();
        }
        int begin = readers + position * FAN_OUT;
        int end = Math.min(begin + FAN_OUT, order.size());
        return begin >= end ? List.of() : order.subList(begin, end);
    }

    /**
     * Returns the readers.
     *
     * @return The readers.
     */
    public List<Member> readers() {
        return order.subList(0, Math.min(readers, order.size()));
    }
}
