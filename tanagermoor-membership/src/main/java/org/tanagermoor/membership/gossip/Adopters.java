package org.tanagermoor.membership.gossip;

import com.google.protobuf.ByteString;
import java.util.BitSet;
import java.util.List;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.View;

/** The wire form of the set of members that have adopted a version: one bit for each member, in the order of a view. */
public final class Adopters {

    private Adopters() {}

    /**
     * Encodes members.
     *
     * @param adopters The members; those that are not in the view are left out.
     * @return The bits in the order of the view.
     */
    public static ByteString encode(View view, Iterable<InstanceId> adopters) {
        List<InstanceId> ids = view.ids();
        BitSet bits = new BitSet();
        for (InstanceId id : adopters) {
            int index = ids.indexOf(id);
            if (index >= 0) {
                bits.set(index);
            }
        }
        return ByteString.copyFrom(bits.toByteArray());
    }

    /**
     * Decodes members. Bits beyond the end of the view are ignored.
     *
     * @param bits The bits in the order of the view.
     */
    public static List<InstanceId> decode(View view, ByteString bits) {
        List<InstanceId> ids = view.ids();
        return BitSet.valueOf(bits.toByteArray()).stream()
                .filter(index -> index < ids.size())
                .mapToObj(ids::get)
                .toList();
    }
}
