package org.tanagermoor.batch.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.tanagermoor.batch.proto.ItemRange;
import org.tanagermoor.batch.proto.ItemResult;
import org.tanagermoor.batch.proto.ProgressEntry;
import org.tanagermoor.batch.proto.ResultObject;
import org.tanagermoor.batch.store.Protos;
import org.tanagermoor.policy.batch.ItemSet;

/** The outcomes of the items of a chunk and what is reported of them. */
final class ChunkResults {

    /** Outcomes by index of the item. */
    private final Map<Integer, ItemResult> outcomes = new TreeMap<>();

    /** Indexes of the items whose target was lost while they ran. */
    private final Set<Integer> lost = new TreeSet<>();

    /** Bytes of the result object; empty before it is built. */
    private byte[] content = new byte[0];

    /** Name of the result object; empty until it is stored. */
    private String object = "";

    /** Creates results without outcomes. */
    ChunkResults() {
        // No item has an outcome yet.
    }

    /** Records the outcome of an item. */
    void settle(ItemResult result) {
        outcomes.put(result.getIndex(), result);
    }

    /**
     * Records that a target was lost while an item ran.
     *
     * @param index The index of the item.
     */
    void recordLoss(int index) {
        lost.add(index);
    }

    /** Returns whether no item has an outcome. */
    boolean hasNoOutcome() {
        return outcomes.isEmpty();
    }

    /**
     * Returns whether there is anything to report other than items that are returned without an outcome.
     *
     * @return Whether an item has an outcome or lost its target.
     */
    boolean hasOutcomeOrLoss() {
        return !outcomes.isEmpty() || !lost.isEmpty();
    }

    /** Builds the result object, if any item has an outcome. */
    void buildObject() {
        if (!outcomes.isEmpty()) {
            content = ResultObject.newBuilder()
                    .addAllResults(outcomes.values())
                    .build()
                    .toByteArray();
        }
    }

    /**
     * Returns the bytes of the result object.
     *
     * @return The bytes, empty before the object is built.
     */
    byte[] content() {
        return content;
    }

    /**
     * Records that the result object was stored.
     *
     * @param name The name of the object.
     */
    void stored(String name) {
        object = name;
    }

    /**
     * Returns the progress entry that the steward records for these results.
     *
     * @return The entry, without an object if no item has an outcome.
     */
    ProgressEntry entry() {
        return ProgressEntry.newBuilder()
                .setKind(ProgressEntry.Kind.RESULT)
                .addAllItems(Protos.ranges(ItemSet.ofIndexes(outcomes.keySet())))
                .setObject(object)
                .setCompleted(count(ItemResult.Outcome.COMPLETED))
                .setFailed(count(ItemResult.Outcome.FAILED))
                .setUnknown(count(ItemResult.Outcome.UNKNOWN))
                .build();
    }

    /**
     * Returns the items whose target was lost while they ran.
     *
     * @return The ranges of item indexes.
     */
    List<ItemRange> lost() {
        return Protos.ranges(ItemSet.ofIndexes(new ArrayList<>(lost)));
    }

    /** Returns the number of items with the given outcome. */
    private int count(ItemResult.Outcome outcome) {
        return (int) outcomes.values().stream()
                .filter(result -> result.getOutcome() == outcome)
                .count();
    }
}
