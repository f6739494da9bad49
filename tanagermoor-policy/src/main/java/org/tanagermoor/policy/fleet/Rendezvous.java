package org.tanagermoor.policy.fleet;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Rendezvous hashing. All instances rank the same candidates in the same order, and the loss of a candidate moves only
 * the keys that were assigned to it.
 */
public final class Rendezvous {

    private Rendezvous() {}

    /**
     * Returns the candidate that ranks first for a key.
     *
     * @param <T> The type of the candidates.
     * @param name Returns the name of a candidate, which is hashed.
     * @return The first candidate, or empty if there are no candidates.
     */
    public static <T> Optional<T> first(String key, Collection<T> candidates, Function<T, String> name) {
        return candidates.stream().max(Comparator.comparingLong(candidate -> weight(key, name.apply(candidate))));
    }

    /**
     * Returns all candidates, the one that ranks first at the head.
     *
     * @param <T> The type of the candidates.
     * @param name Returns the name of a candidate, which is hashed.
     */
    public static <T> List<T> ranked(String key, Collection<T> candidates, Function<T, String> name) {
        List<T> result = new ArrayList<>(candidates);
        result.sort(Comparator.comparingLong((T candidate) -> weight(key, name.apply(candidate)))
                .reversed());
        return result;
    }

    /**
     * Returns the steward of a key: the member that ranks first for it among the members that are not leaving. The
     * steward is the one instance that decides about the key, for example how much of a budget each instance gets.
     *
     * @return The steward, or empty if all members are leaving or there are none.
     */
    public static Optional<Member> steward(String key, View view) {
        List<Member> staying =
                view.members().values().filter(member -> !member.leaving()).toJavaList();
        return first(key, staying, member -> member.id().toString());
    }

    /** Returns the hash of a key and the name of a candidate. The candidate with the largest hash ranks first. */
    public static long weight(String key, String candidate) {
        byte[] bytes = (key.length() + ":" + key + candidate).getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes)[0];
    }
}
