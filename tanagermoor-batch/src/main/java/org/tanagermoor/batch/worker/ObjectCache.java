package org.tanagermoor.batch.worker;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Caches the item objects that were used last, as the chunks of one object are often lent one after the other. */
final class ObjectCache {

    /** Maximum number of cached objects. */
    private static final int CAPACITY = 8;

    /** Contents of objects by name, least recently used first. */
    private final Map<String, byte[]> objects = new LinkedHashMap<>(CAPACITY, 0.75f, true);

    /** Creates an empty cache. */
    ObjectCache() {
        // The cache starts empty.
    }

    /** Returns the content of an object, if it is cached. */
    Optional<byte[]> get(String name) {
        return Optional.ofNullable(objects.get(name));
    }

    /** Caches the content of an object, and evicts the least recently used one if there are too many. */
    void put(String name, byte[] content) {
        objects.put(name, content);
        if (objects.size() > CAPACITY) {
            objects.remove(objects.keySet().iterator().next());
        }
    }
}
