package org.tanagermoor.batch.accept;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.tanagermoor.http.Digests;

/**
 * The identities of the items of a job, each with its line: a hash table with open addressing. Keeps 64 bits of the
 * digest of each identity, so that two different identities are taken for the same one in about one of 300 million
 * jobs with 350,000 items. Used by one thread at a time.
 */
final class ItemIds {

    /** The number of slots of an empty table, a power of 2. */
    private static final int INITIAL_SLOTS = 256;

    private final MessageDigest digest = Digests.newSha256();

    /** The digests of the identities. The search for a digest starts at the slot that its lowest bits give. */
    private long[] keys = new long[INITIAL_SLOTS];

    /** The lines of the identities; 0 for an empty slot. */
    private int[] lines = new int[INITIAL_SLOTS];

    private int size;

    ItemIds() {
        // The fields hold an empty table.
    }

    /**
     * Adds an identity unless it is present.
     *
     * @param id The identity.
     * @param line The number of its line, from 1.
     * @return The line of the same identity that was added before, or 0 if there is none.
     */
    int add(String id, int line) {
        long key = ByteBuffer.wrap(digest.digest(id.getBytes(StandardCharsets.UTF_8)))
                .getLong();
        int slot = slot(key);
        if (lines[slot] != 0) {
            return lines[slot];
        }
        keys[slot] = key;
        lines[slot] = line;
        size++;
        if (size > lines.length / 2) {
            grow();
        }
        return 0;
    }

    /**
     * Returns the slot that contains an identity, or the empty slot for it.
     *
     * @param key The digest of the identity.
     */
    private int slot(long key) {
        int slot = (int) key & (lines.length - 1);
        while (lines[slot] != 0 && keys[slot] != key) {
            slot = (slot + 1) & (lines.length - 1);
        }
        return slot;
    }

    /** Doubles the number of slots. */
    private void grow() {
        long[] oldKeys = keys;
        int[] oldLines = lines;
        keys = new long[oldKeys.length * 2];
        lines = new int[oldLines.length * 2];
        for (int index = 0; index < oldLines.length; index++) {
            if (oldLines[index] != 0) {
                int slot = slot(oldKeys[index]);
                keys[slot] = oldKeys[index];
                lines[slot] = oldLines[index];
            }
        }
    }
}
