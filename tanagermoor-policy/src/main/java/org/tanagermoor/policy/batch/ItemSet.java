package org.tanagermoor.policy.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * An immutable set of items of a job, kept as ranges of their indexes.
 *
 * @param ranges The ranges in ascending order; none is empty, and no two overlap or are adjacent.
 */
public record ItemSet(List<ItemRange> ranges) {

    /** The set without items. */
    public static final ItemSet EMPTY = new ItemSet(List.of());

    /**
     * Returns the set of the items of one range.
     *
     * @param from The first index.
     * @param to The index after the last; the set is empty unless it is above {@code from}.
     */
    public static ItemSet of(int from, int to) {
        return to <= from ? EMPTY : new ItemSet(List.of(ItemRange.of(from, to)));
    }

    /**
     * Returns the set of the items of several ranges.
     *
     * @param ranges The ranges in any order; they may be empty, adjacent or overlapping.
     */
    public static ItemSet ofRanges(Collection<ItemRange> ranges) {
        List<ItemRange> sorted = new ArrayList<>(ranges);
        sorted.sort(Comparator.comparingInt(ItemRange::from));
        List<ItemRange> result = new ArrayList<>();
        for (ItemRange range : sorted) {
            append(result, range);
        }
        return new ItemSet(List.copyOf(result));
    }

    /**
     * Returns the set of the items with some indexes.
     *
     * @param indexes The indexes in any order.
     */
    public static ItemSet ofIndexes(Collection<Integer> indexes) {
        return ofRanges(
                indexes.stream().map(index -> ItemRange.of(index, index + 1)).toList());
    }

    /** Returns the number of items. */
    public int size() {
        return ranges.stream().mapToInt(ItemRange::size).sum();
    }

    /** Returns whether this set has no items. */
    public boolean isEmpty() {
        return ranges.isEmpty();
    }

    /**
     * Returns the lowest index.
     *
     * @throws IndexOutOfBoundsException If this set is empty.
     */
    public int first() {
        return ranges.get(0).from();
    }

    /** Returns the indexes in ascending order. */
    public IntStream indexes() {
        return ranges.stream().flatMapToInt(range -> IntStream.range(range.from(), range.to()));
    }

    /** Returns whether this set contains the item with an index. */
    public boolean contains(int index) {
        return ranges.stream().anyMatch(range -> range.from() <= index && index < range.to());
    }

    /** Returns whether this set contains all items of another one. */
    public boolean containsAll(ItemSet other) {
        return other.minus(this).isEmpty();
    }

    /** Returns the items that are in this set, in another one or in both. */
    public ItemSet union(ItemSet other) {
        List<ItemRange> all = new ArrayList<>(ranges);
        all.addAll(other.ranges);
        return ofRanges(all);
    }

    /** Returns the items that are in this set and in another one. */
    public ItemSet intersection(ItemSet other) {
        return minus(minus(other));
    }

    /** Returns the items of this set that are not in another one. */
    public ItemSet minus(ItemSet other) {
        List<ItemRange> result = new ArrayList<>();
        int index = 0;
        for (ItemRange range : ranges) {
            int from = range.from();
            while (index < other.ranges.size() && other.ranges.get(index).to() <= from) {
                index++;
            }
            for (int next = index; next < other.ranges.size() && from < range.to(); next++) {
                ItemRange excluded = other.ranges.get(next);
                if (excluded.from() >= range.to()) {
                    break;
                }
                append(result, ItemRange.of(from, excluded.from()));
                from = excluded.to();
            }
            append(result, ItemRange.of(from, range.to()));
        }
        return result.equals(ranges) ? this : new ItemSet(List.copyOf(result));
    }

    /**
     * Splits this set in the order of the indexes.
     *
     * @return Two sets whose sizes differ by at most 1; the second one is empty if this set has a single item.
     */
    public List<ItemSet> halves() {
        int half = (size() + 1) / 2;
        List<ItemRange> front = new ArrayList<>();
        for (ItemRange range : ranges) {
            int taken = Math.min(half, range.size());
            append(front, ItemRange.of(range.from(), range.from() + taken));
            half -= taken;
        }
        ItemSet first = new ItemSet(List.copyOf(front));
        return List.of(first, minus(first));
    }

    /**
     * Appends a range, merging it with the last one if they overlap or are adjacent.
     *
     * @param ranges The ranges so far, in ascending order.
     * @param range The range, which starts no earlier than those before it and may be empty.
     */
    private static void append(List<ItemRange> ranges, ItemRange range) {
        if (range.size() <= 0) {
            return;
        }
        int last = ranges.size() - 1;
        if (last >= 0 && ranges.get(last).to() >= range.from()) {
            ItemRange before = ranges.get(last);
            ranges.set(last, ItemRange.of(before.from(), Math.max(before.to(), range.to())));
        } else {
            ranges.add(range);
        }
    }
}
