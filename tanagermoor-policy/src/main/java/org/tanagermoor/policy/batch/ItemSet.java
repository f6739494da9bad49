package org.tanagermoor.policy.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * A set of items of a job, as ranges of their indexes.
 *
 * @param ranges The ranges in order; none is empty and no two touch.
 */
public record ItemSet(List<ItemRange> ranges) {

    /** The set without items. */
    public static final ItemSet EMPTY = new ItemSet(List.of());

    /**
     * Returns the set of one range.
     *
     * @param from The first index.
     * @param to The index after the last; not above {@code from} for the empty set.
     */
    public static ItemSet of(int from, int to) {
        return to <= from ? EMPTY : new ItemSet(List.of(ItemRange.of(from, to)));
    }

    /**
     * Returns the set of the items of some ranges.
     *
     * @param ranges The ranges, in any order; they may touch, overlap and be empty.
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
     * Returns the set of some items.
     *
     * @param indexes The indexes, in any order.
     */
    public static ItemSet ofIndexes(Collection<Integer> indexes) {
        return ofRanges(
                indexes.stream().map(index -> ItemRange.of(index, index + 1)).toList());
    }

    /** Returns the number of items. */
    public int size() {
        return ranges.stream().mapToInt(ItemRange::size).sum();
    }

    /** Returns whether there are no items. */
    public boolean isEmpty() {
        return ranges.isEmpty();
    }

    /**
     * Returns the least index.
     *
     * @throws IndexOutOfBoundsException If this set is empty.
     */
    public int first() {
        return ranges.get(0).from();
    }

    /** Returns the indexes in order. */
    public IntStream indexes() {
        return ranges.stream().flatMapToInt(range -> IntStream.range(range.from(), range.to()));
    }

    /**
     * Returns whether an item is in this set.
     *
     * @param index The index of the item.
     */
    public boolean contains(int index) {
        return ranges.stream().anyMatch(range -> range.from() <= index && index < range.to());
    }

    /** Returns whether all items of another set are in this one. */
    public boolean containsAll(ItemSet other) {
        return other.minus(this).isEmpty();
    }

    /** Returns the items that are in either set. */
    public ItemSet union(ItemSet other) {
        List<ItemRange> all = new ArrayList<>(ranges);
        all.addAll(other.ranges);
        return ofRanges(all);
    }

    /** Returns the items that are in both sets. */
    public ItemSet intersection(ItemSet other) {
        return minus(minus(other));
    }

    /**
     * Returns the items of this set that are not in another.
     *
     * @return The difference.
     */
    public ItemSet minus(ItemSet other) {
        List<ItemRange> result = new ArrayList<>();
        int index = 0;
        for (ItemRange range : ranges) {
            int from = range.from();
            while (index < other.ranges.size() && other.ranges.get(index).to() <= from) {
                index++;
            }
            for (int next = index; next < other.ranges.size() && from < range.to(); next++) {
                ItemRange hole = other.ranges.get(next);
                if (hole.from() >= range.to()) {
                    break;
                }
                append(result, ItemRange.of(from, hole.from()));
                from = hole.to();
            }
            append(result, ItemRange.of(from, range.to()));
        }
        return result.equals(ranges) ? this : new ItemSet(List.copyOf(result));
    }

    /**
     * Splits this set in the order of the indexes.
     *
     * @return Two sets of nearly the same size; the second is empty if this one has a single item.
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
     * Appends a range that begins no earlier than those before it.
     *
     * @param ranges The ranges so far, in order.
     * @param range The range, which may be empty.
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
