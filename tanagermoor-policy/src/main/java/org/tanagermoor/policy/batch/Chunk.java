package org.tanagermoor.policy.batch;

/**
 * Items of a job that are lent together.
 *
 * @param items The items, at least one.
 * @param losses The times that a target or worker was lost under them, together with others or not.
 * @param targetLossesAlone The times that a target was lost while this chunk was a single item.
 * @param workerLossesAlone The times that a worker was lost while this chunk was a single item.
 */
public record Chunk(ItemSet items, int losses, int targetLossesAlone, int workerLossesAlone) {

    /** The losses from which on a chunk is a suspect, of which only one in a job is lent at a time. */
    private static final int SUSPECT_LOSSES = 2;

    /** Returns a chunk that was never lost. */
    public static Chunk of(ItemSet items) {
        return new Chunk(items, 0, 0, 0);
    }

    /**
     * Returns this chunk with other items.
     *
     * @return A chunk with the same losses.
     */
    public Chunk withItems(ItemSet value) {
        return new Chunk(value, losses, targetLossesAlone, workerLossesAlone);
    }

    /**
     * Returns this chunk with one more loss.
     *
     * @param cause What was lost.
     */
    public Chunk withLoss(LossCause cause) {
        int alone = items.size() == 1 ? 1 : 0;
        return switch (cause) {
            case TARGET -> new Chunk(items, losses + 1, targetLossesAlone + alone, workerLossesAlone);
            case WORKER -> new Chunk(items, losses + 1, targetLossesAlone, workerLossesAlone + alone);
        };
    }

    /** Returns whether this chunk may well hold an item that its target or worker does not survive. */
    public boolean suspect() {
        return losses >= SUSPECT_LOSSES;
    }

    /**
     * Returns whether this chunk is given up.
     *
     * @param cause What was lost last.
     * @return Whether its single item was lost too often.
     */
    public boolean exhausted(LossCause cause) {
        return switch (cause) {
            case TARGET -> targetLossesAlone >= cause.limit();
            case WORKER -> workerLossesAlone >= cause.limit();
        };
    }
}
