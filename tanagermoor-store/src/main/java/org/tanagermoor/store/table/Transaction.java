package org.tanagermoor.store.table;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A set of conditions and writes. The writes take effect all together if all conditions hold, and otherwise not at all.
 *
 * @param conditions The versions that rows must have.
 * @param writes The rows to put or delete, in this order, if all conditions hold.
 */
public record Transaction(List<Condition> conditions, List<Write> writes) {

    /** The version that stands for an absent row in a condition. */
    public static final long ABSENT = 0;

    /** The transaction without conditions and writes, from which others are built. */
    public static final Transaction EMPTY = new Transaction(List.of(), List.of());

    /**
     * Returns a copy of this transaction with the additional condition that a row has a version.
     *
     * @param version The version, or {@link #ABSENT} for the condition that the row does not exist.
     */
    public Transaction withCondition(RowKey key, long version) {
        return new Transaction(withElement(conditions, new Condition(key, version)), writes);
    }

    /**
     * Returns a copy of this transaction that also inserts or replaces a row.
     *
     * @param value The value, which must not be modified afterwards.
     */
    public Transaction withPut(RowKey key, byte[] value) {
        return new Transaction(conditions, withElement(writes, new Write(key, value)));
    }

    /** Returns a copy of this transaction that also deletes a row, if it exists. */
    public Transaction withDelete(RowKey key) {
        return new Transaction(conditions, withElement(writes, new Write(key, null)));
    }

    /** Returns an immutable copy of a list with an element added at the end. */
    private static <T> List<T> withElement(List<T> list, T element) {
        List<T> result = new ArrayList<>(list);
        result.add(element);
        return List.copyOf(result);
    }

    /**
     * Requires that a row has a certain version when the transaction is committed.
     *
     * @param key The key of the row.
     * @param version The required version, or {@link #ABSENT} if the row must not exist.
     */
    public record Condition(RowKey key, long version) {}

    /**
     * Inserts, replaces or deletes a row.
     *
     * @param key The key of the row.
     * @param value The new value, which must not be modified, or {@code null} to delete the row.
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Write(RowKey key, byte @Nullable [] value) {}
}
