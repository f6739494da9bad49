package org.tanagermoor.batch.worker;

import java.util.List;
import org.tanagermoor.batch.proto.StartMark;
import org.tanagermoor.batch.proto.StartRow;
import org.tanagermoor.batch.store.Protos;
import org.tanagermoor.policy.batch.ItemSet;

/** Reads and writes the marks of items that may not be repeated. */
final class StartMarks {

    /** There are no instances. */
    private StartMarks() {}

    /**
     * Returns the items that were marked under other leases.
     *
     * @param row The marks of a cell.
     * @param lease The identity of the lease that is not another.
     * @return The items.
     */
    static ItemSet markedUnderOtherLeases(StartRow row, long lease) {
        ItemSet others = ItemSet.EMPTY;
        for (StartMark mark : row.getMarksList()) {
            if (mark.getLease() != lease) {
                others = others.union(Protos.items(mark.getItemsList()));
            }
        }
        return others;
    }

    /**
     * Returns marks with more items.
     *
     * @param row The marks of a cell.
     * @param lease The identity of the lease.
     * @param items The items.
     * @return The marks.
     */
    static StartRow withItems(StartRow row, long lease, List<Integer> items) {
        StartMark mark = StartMark.newBuilder()
                .setLease(lease)
                .addAllItems(Protos.ranges(ItemSet.ofIndexes(items)))
                .build();
        return row.toBuilder().addMarks(mark).build();
    }
}
