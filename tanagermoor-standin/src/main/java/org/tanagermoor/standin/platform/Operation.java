package org.tanagermoor.standin.platform;

import java.util.Optional;
import java.util.stream.Stream;
import org.tanagermoor.store.listing.InstanceList;
import org.tanagermoor.store.object.ObjectStore;
import org.tanagermoor.store.table.TableService;

/** The operations of the platform. */
public enum Operation {

    /** Reads a row. */
    TABLE_READ(TableService.ForHttp.READ_STEP, false),

    /** Scans rows. */
    TABLE_SCAN(TableService.ForHttp.SCAN_STEP, false),

    /** Commits a transaction. */
    TABLE_COMMIT(TableService.ForHttp.COMMIT_STEP, true),

    /** Puts an object. */
    OBJECT_PUT(ObjectStore.ForHttp.PUT_STEP, true),

    /** Gets an object. */
    OBJECT_GET(ObjectStore.ForHttp.GET_STEP, false),

    /** Lists the names of objects. */
    OBJECT_LIST(ObjectStore.ForHttp.LIST_STEP, false),

    /** Deletes an object. */
    OBJECT_DELETE(ObjectStore.ForHttp.DELETE_STEP, true),

    /** Reads the list of instances. */
    INSTANCES_READ(InstanceList.ForHttp.READ_STEP, false);

    /** The name on the wire. */
    private final String label;

    /** Whether the operation counts as a write. */
    private final boolean write;

    /**
     * Creates an operation.
     *
     * @param label The name on the wire.
     * @param write Whether the operation counts as a write.
     */
    Operation(String label, boolean write) {
        this.label = label;
        this.write = write;
    }

    /**
     * Returns the name on the wire.
     *
     * @return The name on the wire.
     */
    public String label() {
        return label;
    }

    /**
     * Returns whether the operation counts as a write.
     *
     * @return Whether the operation counts as a write.
     */
    public boolean write() {
        return write;
    }

    /**
     * Finds an operation.
     *
     * @param label The name on the wire.
     * @return The operation, if there is one of that name.
     */
    public static Optional<Operation> find(String label) {
        return Stream.of(values()).filter(value -> value.label.equals(label)).findFirst();
    }
}
