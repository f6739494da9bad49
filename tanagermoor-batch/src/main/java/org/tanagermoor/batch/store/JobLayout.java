package org.tanagermoor.batch.store;

import java.util.ArrayList;
import java.util.List;
import org.tanagermoor.batch.proto.ItemObject;
import org.tanagermoor.batch.proto.Manifest;
import org.tanagermoor.policy.batch.ItemSet;

/**
 * The distribution of the items of a job over its objects.
 *
 * @param objects The objects in order.
 * @param chunkItems The maximum number of items of a cell, one of the chunks into which the job is split
 *     initially.
 */
public record JobLayout(List<Part> objects, int chunkItems) {

    /**
     * Creates the layout that a manifest describes.
     *
     * @param manifest The objects of the job with their numbers of items.
     * @param chunkItems The maximum number of items of a cell, at least 1.
     */
    public static JobLayout of(Manifest manifest, int chunkItems) {
        List<Part> objects = new ArrayList<>();
        int first = 0;
        for (ItemObject object : manifest.getObjectsList()) {
            objects.add(new Part(object.getDigest(), first, first + object.getItems()));
            first += object.getItems();
        }
        return new JobLayout(List.copyOf(objects), chunkItems);
    }

    /**
     * Returns the cells: the chunks into which the job is split initially. No cell spans two objects.
     *
     * @return The cells in order.
     */
    public List<ItemSet> cells() {
        List<ItemSet> cells = new ArrayList<>();
        for (Part object : objects) {
            for (int from = object.from(); from < object.to(); from += chunkItems) {
                cells.add(ItemSet.of(from, Math.min(object.to(), from + chunkItems)));
            }
        }
        return cells;
    }

    /**
     * Returns the object that contains an item.
     *
     * @param index The index of the item.
     * @throws IllegalArgumentException If there is no such item.
     */
    public Part object(int index) {
        int low = 0;
        int high = objects.size() - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            Part object = objects.get(middle);
            if (index < object.from()) {
                high = middle - 1;
            } else if (index >= object.to()) {
                low = middle + 1;
            } else {
                return object;
            }
        }
        throw new IllegalArgumentException("There is no item " + index);
    }

    /**
     * Returns the index of the first item of the cell that contains an item.
     *
     * @param index The index of the item.
     */
    public int cell(int index) {
        int from = object(index).from();
        return from + (index - from) / chunkItems * chunkItems;
    }

    /**
     * An object that contains items.
     *
     * @param digest The SHA-256 of the content.
     * @param from The index of the first item.
     * @param to The index after the last item.
     */
    public record Part(String digest, int from, int to) {}
}
