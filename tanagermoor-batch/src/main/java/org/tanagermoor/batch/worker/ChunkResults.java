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

/** What became of the items of a chunk. */
final class ChunkResults {

    /** The outcomes by index. */
    private final Map<Integer, ItemResult> outcomes = new TreeMap<>();

    /** The items under which a target was lost. */
    private final Set<Integer> lost = new TreeSet<>();

    /** The bytes of the result object. */
    private byte[] content = new byte[0];

    /** The name of the result object; empty if there is none. */
    private String object = "";

    /** Creates results of which nothing is known. */
    ChunkResults() {
        // Nothing is known yet.
    }

    /**
     * Gives an item its outcome.
     *
     * @param result The outcome.
     */
    void settle(ItemResult result) {
        outcomes.put(result.getIndex(), result);
    }

    /**
     * Takes in that a target was lost under an item.
     *
     * @param index The index of the item.
     */
    void recordLoss(int index) {
        lost.add(index);
    }

    /**
     * Returns whether no item has an outcome.
     *
     * @return Whether no item has an outcome.
     */
    boolean hasNoOutcome() {
        return outcomes.isEmpty();
    }

    /**
     * Returns whether there is anything to report but what goes back.
     *
     * @return Whether anything has an outcome or is lost.
     */
    boolean hasOutcomeOrLoss() {
        return !outcomes.isEmpty() || !lost.isEmpty();
    }

    /** Builds the result object. */
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
     * @return The bytes, none before it is built.
     */
    byte[] content() {
        return content;
    }

    /**
     * Takes in that the result object was put.
     *
     * @param name The name.
     */
    void stored(String name) {
        object = name;
    }

    /**
     * Returns the entry of the results to record.
     *
     * @return The entry, without an object if nothing has an outcome.
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
     * Returns the items under which a target was lost.
     *
     * @return The ranges.
     */
    List<ItemRange> lost() {
        return Protos.ranges(ItemSet.ofIndexes(new ArrayList<>(lost)));
    }

    /**
     * Returns the number of items with an outcome.
     *
     * @param outcome The outcome.
     * @return The number of items.
     */
    private int count(ItemResult.Outcome outcome) {
        return (int) outcomes.values().stream()
                .filter(result -> result.getOutcome() == outcome)
                .count();
    }
}
