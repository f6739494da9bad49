package org.tanagermoor.policy.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiFunction;
import org.tanagermoor.policy.configuration.Configuration;

/**
 * Since when an instance has been the steward of keys without a break. Not safe for use by several threads.
 *
 * @param <K> The type of the keys.
 */
public final class Tenure<K> {

    /** The most views that are remembered. */
    private static final int REMEMBERED = 8;

    /** The identity of this instance. */
    private final InstanceId self;

    /** Finds the steward of a key in a view. */
    private final BiFunction<K, View, Optional<InstanceId>> stewards;

    /** The views that were adopted one after the other without a gap, oldest first. */
    private final List<Term<K>> terms = new ArrayList<>();

    /** The version that was adopted last. */
    private long adopted;

    /**
     * Creates a tenure.
     *
     * @param self The identity of this instance.
     * @param stewards Finds the steward of a key in a view.
     */
    private Tenure(InstanceId self, BiFunction<K, View, Optional<InstanceId>> stewards) {
        this.self = self;
        this.stewards = stewards;
    }

    /**
     * Returns the tenure of an instance that adopted nothing.
     *
     * @param <L> The type of the keys.
     * @param self The identity of the instance.
     * @param stewards Finds the steward of a key in a view.
     * @return The tenure.
     */
    public static <L> Tenure<L> of(InstanceId self, BiFunction<L, View, Optional<InstanceId>> stewards) {
        return new Tenure<>(self, stewards);
    }

    /**
     * Adopts a configuration.
     *
     * @param configuration The configuration.
     * @return {@code false} if a view between this one and the one before may have been missed, so that another
     *     instance may have been the steward meanwhile.
     */
    public boolean adopt(Configuration configuration) {
        View view = configuration.view();
        boolean changed = terms.isEmpty() || terms.getLast().view.version() != view.version();
        boolean next = !terms.isEmpty() && view.version() == adopted + 1;
        boolean continuous = !changed || next;
        adopted = configuration.version();
        if (!continuous) {
            terms.clear();
        }
        if (changed) {
            terms.add(new Term<>(view));
        }
        if (terms.size() > REMEMBERED) {
            terms.removeFirst();
        }
        return continuous;
    }

    /**
     * Notes that the view that was adopted last is accepted.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return Whether this was not known before.
     */
    public boolean accept(long now) {
        if (terms.isEmpty() || terms.getLast().acceptedAt.isPresent()) {
            return false;
        }
        terms.getLast().acceptedAt = OptionalLong.of(now);
        return true;
    }

    /**
     * Returns whether the view that was adopted last is known to be accepted.
     *
     * @return Whether it is accepted.
     */
    public boolean accepted() {
        return !terms.isEmpty() && terms.getLast().acceptedAt.isPresent();
    }

    /**
     * Returns the view that was adopted last.
     *
     * @return The view.
     */
    public View view() {
        return terms.isEmpty() ? View.EMPTY : terms.getLast().view;
    }

    /**
     * Returns the steward of a key in the view that was adopted last.
     *
     * @param key The key.
     * @return The steward, if there is one.
     */
    public Optional<InstanceId> steward(K key) {
        return terms.isEmpty() ? Optional.empty() : terms.getLast().steward(key, stewards);
    }

    /**
     * Returns whether this instance is the steward of a key in the view that was adopted last.
     *
     * @param key The key.
     * @return Whether it is the steward.
     */
    public boolean isSteward(K key) {
        return steward(key).filter(self::equals).isPresent();
    }

    /**
     * Returns the time from which no other instance can have been the steward of a key.
     *
     * @param key The key.
     * @return The monotonic time in nanoseconds, or nothing if this instance may not act as the steward yet.
     */
    public OptionalLong since(K key) {
        OptionalLong since = OptionalLong.empty();
        for (Term<K> term : terms.reversed()) {
            if (term.steward(key, stewards).filter(self::equals).isEmpty()) {
                break;
            }
            since = term.acceptedAt.isPresent() ? term.acceptedAt : since;
        }
        return since;
    }

    /**
     * A view.
     *
     * @param <L> The type of the keys.
     */
    private static final class Term<L> {

        /** The view. */
        private final View view;

        /** The stewards that were asked for. */
        private final Map<L, Optional<InstanceId>> known = new HashMap<>();

        /** The monotonic time at which the view was known to be accepted, in nanoseconds. */
        private OptionalLong acceptedAt = OptionalLong.empty();

        /**
         * Creates a term.
         *
         * @param view The view.
         */
        private Term(View view) {
            this.view = view;
        }

        /**
         * Returns the steward of a key.
         *
         * @param key The key.
         * @param stewards Finds the steward of a key in a view.
         * @return The steward, if there is one.
         */
        private Optional<InstanceId> steward(L key, BiFunction<L, View, Optional<InstanceId>> stewards) {
            return known.computeIfAbsent(key, missing -> stewards.apply(missing, view));
        }
    }
}
