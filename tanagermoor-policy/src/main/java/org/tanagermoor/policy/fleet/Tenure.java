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
 * Tracks since when this instance has been the steward of each key without interruption. Not thread-safe.
 *
 * @param <K> The type of the keys.
 */
public final class Tenure<K> {

    /** The maximum number of views that are kept; older ones are dropped. */
    private static final int MAX_TERMS = 8;

    private final InstanceId self;

    private final BiFunction<K, View, Optional<InstanceId>> stewards;

    /** The views that were adopted consecutively, oldest first. */
    private final List<Term<K>> terms = new ArrayList<>();

    /** The version of the configuration that was adopted last. */
    private long adoptedVersion;

    private Tenure(InstanceId self, BiFunction<K, View, Optional<InstanceId>> stewards) {
        this.self = self;
        this.stewards = stewards;
    }

    /**
     * Returns the tenure of an instance that has not adopted a configuration yet.
     *
     * @param <L> The type of the keys.
     * @param self The identity of this instance.
     * @param stewards Finds the steward of a key in a view.
     */
    public static <L> Tenure<L> of(InstanceId self, BiFunction<L, View, Optional<InstanceId>> stewards) {
        return new Tenure<>(self, stewards);
    }

    /**
     * Adopts a configuration.
     *
     * @return {@code false} if this instance may have missed a view between the previous configuration and this one, in
     *     which case another instance may have been the steward in between.
     */
    public boolean adopt(Configuration configuration) {
        View view = configuration.view();
        boolean changed = terms.isEmpty() || terms.getLast().view.version() != view.version();
        boolean isNextVersion = !terms.isEmpty() && view.version() == adoptedVersion + 1;
        boolean continuous = !changed || isNextVersion;
        adoptedVersion = configuration.version();
        if (!continuous) {
            terms.clear();
        }
        if (changed) {
            terms.add(new Term<>(view));
        }
        if (terms.size() > MAX_TERMS) {
            terms.removeFirst();
        }
        return continuous;
    }

    /**
     * Records that the view that was adopted last is accepted.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return {@code true} if the acceptance was not known before.
     */
    public boolean accept(long now) {
        if (terms.isEmpty() || terms.getLast().acceptedAt.isPresent()) {
            return false;
        }
        terms.getLast().acceptedAt = OptionalLong.of(now);
        return true;
    }

    /** Returns whether the view that was adopted last is known to be accepted. */
    public boolean accepted() {
        return !terms.isEmpty() && terms.getLast().acceptedAt.isPresent();
    }

    /** Returns the view that was adopted last, or the empty view if none was adopted. */
    public View view() {
        return terms.isEmpty() ? View.EMPTY : terms.getLast().view;
    }

    /** Returns the steward of a key in the view that was adopted last, or empty if the view has none. */
    public Optional<InstanceId> steward(K key) {
        return terms.isEmpty() ? Optional.empty() : terms.getLast().steward(key, stewards);
    }

    /** Returns whether this instance is the steward of a key in the view that was adopted last. */
    public boolean isSteward(K key) {
        return steward(key).filter(self::equals).isPresent();
    }

    /**
     * Returns the time from which no other instance can have been the steward of a key.
     *
     * @return The monotonic time in nanoseconds, or empty if this instance may not act as the steward yet.
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
     * An adopted view with a cache of the stewards that were looked up in it.
     *
     * @param <L> The type of the keys.
     */
    private static final class Term<L> {

        private final View view;

        private final Map<L, Optional<InstanceId>> stewardCache = new HashMap<>();

        /** The monotonic time in nanoseconds at which the view was known to be accepted; empty before. */
        private OptionalLong acceptedAt = OptionalLong.empty();

        private Term(View view) {
            this.view = view;
        }

        private Optional<InstanceId> steward(L key, BiFunction<L, View, Optional<InstanceId>> stewards) {
            return stewardCache.computeIfAbsent(key, missing -> stewards.apply(missing, view));
        }
    }
}
