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
 * The shallow tree along which instances learn about new versions. A few members, the readers, read the head row, which
 * names the latest version; the others pull from a member of the level above. Every instance computes the same order of
 * the members, so the tree needs no agreement.
 */
public final class PullTree {

    /** The size of the largest view in which all members are readers. */
    public static final int MAX_SIZE_ALL_READERS = 16;

    /** The number of members that pull from one member. */
    private static final int FAN_OUT = 4;

    /** The number of members of a full tree under one reader, including the reader. */
    private static final int TREE_SIZE = 1 + FAN_OUT + FAN_OUT * FAN_OUT;

    /** The minimum number of readers in a view in which not all members read. */
    private static final int MIN_READERS = 3;

    private static final String RANKING_KEY = "freshness";

    /** The members in order: the readers, the members that pull from them, and the members that pull from those. */
    private final List<Member> ranking;

    /** The index of each member in {@link #ranking}. */
    private final Map<InstanceId, Integer> positions = new HashMap<>();

    private final int readers;

    private PullTree(List<Member> ranking, int readers) {
        this.ranking = ranking;
        this.readers = readers;
        for (int index = 0; index < ranking.size(); index++) {
            positions.put(ranking.get(index).id(), index);
        }
    }

    /** Returns the tree over the members of a view. */
    public static PullTree of(View view) {
        List<Member> members = view.members().values().toJavaList();
        List<Member> ranking =
                Rendezvous.ranked(RANKING_KEY, members, member -> member.id().toString());
        int size = ranking.size();
        int readers = size <= MAX_SIZE_ALL_READERS ? size : Math.max(MIN_READERS, (size + TREE_SIZE - 1) / TREE_SIZE);
        return new PullTree(ranking, readers);
    }

    /** Returns whether a member reads the head row. An instance that is not in the view counts as a reader. */
    public boolean reads(InstanceId id) {
        return positions.getOrDefault(id, 0) < readers;
    }

    /**
     * Returns the members from which a member may pull: the preferred one first, then the alternatives if it is
     * unavailable.
     *
     * @return The members of the level above; empty for a reader.
     */
    public List<Member> parents(InstanceId id) {
        int position = positions.getOrDefault(id, 0);
        int start = position < readers * (1 + FAN_OUT) ? 0 : readers;
        if (position < readers) {
            return List.of();
        }
        int levelSize = start == 0 ? readers : readers * FAN_OUT;
        int first = (position - start - levelSize) / FAN_OUT;
        List<Member> result = new ArrayList<>();
        for (int step = 0; step < levelSize; step++) {
            result.add(ranking.get(start + Math.floorMod(first + step, levelSize)));
        }
        return result;
    }

    /** Returns the members that pull from a member when no alternative is needed. */
    public List<Member> children(InstanceId id) {
        int position = positions.getOrDefault(id, ranking.size());
        if (ranking.size() <= readers || position >= readers * (1 + FAN_OUT)) {
            return List.of();
        }
        int start = readers + position * FAN_OUT;
        int end = Math.min(start + FAN_OUT, ranking.size());
        return start >= end ? List.of() : ranking.subList(start, end);
    }

    /** Returns the members that read the head row. */
    public List<Member> readers() {
        return ranking.subList(0, Math.min(readers, ranking.size()));
    }
}
