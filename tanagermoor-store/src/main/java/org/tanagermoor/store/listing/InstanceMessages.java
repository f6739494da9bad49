package org.tanagermoor.store.listing;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.tanagermoor.kernel.setting.Address;

/** The JSON messages with which the instance list is read from the platform. */
public final class InstanceMessages {

    private InstanceMessages() {}

    /**
     * The JSON form of an {@link InstanceList.Entry}.
     *
     * @param name The unique name of the instance.
     * @param peerAddress The address at which other instances reach it, as {@code ip:port}.
     * @param leaving Whether the platform is about to stop it.
     */
    public record Item(
            String name, @JsonProperty("peer_address") String peerAddress, boolean leaving) {

        /** Converts an entry to its JSON form. */
        public static Item of(InstanceList.Entry entry) {
            return new Item(entry.name(), entry.peerAddress().toString(), entry.leaving());
        }

        /**
         * Converts this item to an entry.
         *
         * @return The entry, or a description of the error in the address.
         */
        public Either<String, InstanceList.Entry> entry() {
            return Address.parse(peerAddress).map(address -> new InstanceList.Entry(name, address, leaving));
        }
    }

    /**
     * The answer to a request for the list.
     *
     * @param instances All live and leaving instances.
     */
    public record Items(List<Item> instances) {

        /** Converts entries to the answer that contains them, in the same order. */
        public static Items of(List<InstanceList.Entry> entries) {
            return new Items(entries.stream().map(Item::of).toList());
        }

        /**
         * Converts this message to entries, in the same order.
         *
         * @return The entries, or a description of the error in the first malformed item.
         */
        public Either<String, List<InstanceList.Entry>> entries() {
            List<InstanceList.Entry> result = new ArrayList<>();
            for (Item item : instances) {
                Either<String, InstanceList.Entry> entry = item.entry();
                if (entry.isLeft()) {
                    return Either.left(entry.getLeft());
                }
                result.add(entry.get());
            }
            return Either.right(List.copyOf(result));
        }
    }
}
