package org.tanagermoor.store.object;

import java.util.List;

/** The JSON messages of the object store. The contents of objects are sent as raw bytes. */
public final class ObjectMessages {

    private ObjectMessages() {}

    /**
     * The answer to a request that lists objects.
     *
     * @param names The names of the objects in ascending order.
     */
    public record Names(List<String> names) {}

    /**
     * The answer to a request that deletes an object.
     *
     * @param present Whether the object existed.
     */
    public record Deleted(boolean present) {}
}
