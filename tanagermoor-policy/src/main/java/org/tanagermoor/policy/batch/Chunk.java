package org.tanagermoor.policy.batch;

/**
 * Items of a job that are lent to a worker together.
 *
 * @param items The items, at least one.
 * @param losses The number of times that a target or worker was lost while it ran these items, alone or with others.
 * @param targetLossesAlone The number of times that a target was lost while this chunk was a single item.
 * @param workerLossesAlone The number of times that a worker was lost while this chunk was a single item.
 */
public record Chunk(ItemSet items, int losses, int targetLossesAlone, int workerLossesAlone) {

    /** The number of losses from which on a chunk is a suspect. Only one suspect of a job is lent at a time. */
    private static final int SUSPECT_LOSSES = 2;

    /** Returns a chunk without losses. */
    public static Chunk of(ItemSet items) {
        return new Chunk(items, 0, 0, 0);
    }

    /** Returns a chunk with other items and the same losses. */
    public Chunk withItems(ItemSet value) {
        return new Chunk(value, losses, targetLossesAlone, workerLossesAlone);
    }

    /**
     * Returns this chunk with one more loss.
     *
     * @param cause Whether a target or a worker was lost.
     */
    public Chunk withLoss(LossCause cause) {
        int singleItem = items.size() == 1 ? 1 : 0;
        return switch (cause) {
            case TARGET -> new Chunk(items, losses + 1, targetLossesAlone + singleItem, workerLossesAlone);
            case WORKER -> new Chunk(items, losses + 1, targetLossesAlone, workerLossesAlone + singleItem);
        };
    }

    /** Returns whether this chunk is likely to contain an item that makes its target or worker fail. */
    public boolean suspect() {
        return losses >= SUSPECT_LOSSES;
    }

    /**
     * Returns whether this chunk is to be abandoned, because its single item has caused too many losses.
     *
     * @param cause The cause of the last loss.
     */
    public boolean exhausted(LossCause cause) {
        return switch (cause) {
            case TARGET -> targetLossesAlone >= cause.limit();
            case WORKER -> workerLossesAlone >= cause.limit();
        };
    }
}
