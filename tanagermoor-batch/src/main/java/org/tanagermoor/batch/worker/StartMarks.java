package org.tanagermoor.batch.worker;

import java.util.List;
import org.tanagermoor.batch.proto.StartMark;
import org.tanagermoor.batch.proto.StartRow;
import org.tanagermoor.batch.store.Protos;
import org.tanagermoor.policy.batch.ItemSet;

/**
 * Reads and extends start marks. A start mark records that an item that must not be repeated may have started under a
 * lease, so that no other lease runs it again.
 */
final class StartMarks {

    private StartMarks() {}

    /**
     * Returns the items that were marked under other leases.
     *
     * @param row The start marks of a cell.
     * @param lease The identity of the lease whose own marks are left out.
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
     * Returns the given marks, extended with items that start under a lease.
     *
     * @param row The start marks of a cell.
     * @param lease The identity of the lease under which the items start.
     */
    static StartRow withItems(StartRow row, long lease, List<Integer> items) {
        StartMark mark = StartMark.newBuilder()
                .setLease(lease)
                .addAllItems(Protos.ranges(ItemSet.ofIndexes(items)))
                .build();
        return row.toBuilder().addMarks(mark).build();
    }
}
