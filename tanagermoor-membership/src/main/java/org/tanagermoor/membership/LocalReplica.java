package org.tanagermoor.membership;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.event.KernelEvent;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.membership.store.LedgerUpdate;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.configuration.Ledger;
import org.tanagermoor.policy.configuration.RecordedChange;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.standing.StandingState;

/**
 * The ledger that this instance has adopted, with the recent changes. Only the thread of the membership duty changes
 * it; any thread may read the published state.
 */
final class LocalReplica {

    /** The maximum number of recent changes that are kept for peers. */
    private static final int MAX_RECENT_CHANGES = 1_024;

    private final EventLog events;

    private final List<Consumer<Configuration>> listeners = new ArrayList<>();

    /** The recent changes without a gap, the last of which made the adopted version. Empty if none are known. */
    private Vector<RecordedChange> recentChanges = Vector.empty();

    private volatile Published published;

    /** The members that this instance watches and that are silent. */
    private volatile Set<InstanceId> silent = Set.of();

    /**
     * Creates a replica with an empty ledger.
     *
     * @param standing The state of the standing at the start.
     */
    LocalReplica(EventLog events, StandingState standing) {
        this.events = events;
        published = new Published(Ledger.EMPTY, standing);
    }

    /** Returns an immutable snapshot of the adopted ledger and the standing. */
    Published published() {
        return published;
    }

    /** Returns whether this instance watches a member and has found it silent. */
    boolean isSilent(InstanceId id) {
        return silent.contains(id);
    }

    /** Replaces the set of watched members that are silent. */
    void silent(Collection<InstanceId> ids) {
        silent = Set.copyOf(ids);
    }

    /** Returns the version of the adopted ledger. */
    long version() {
        return published.ledger().version();
    }

    /** Adds a listener and calls it with the current configuration. */
    void addListener(Consumer<Configuration> listener) {
        listeners.add(listener);
        listener.accept(published.ledger().configuration());
    }

    /**
     * Publishes a new state of the standing.
     *
     * @param change Returns the next state for the current one.
     */
    void updateStanding(UnaryOperator<StandingState> change) {
        Published current = published;
        published = new Published(current.ledger(), change.apply(current.standing()));
    }

    /** Records that a version is accepted. A version that is not later than the known one is ignored. */
    void accepted(long version) {
        Published current = published;
        if (version > current.ledger().chain().accepted()) {
            published = new Published(current.ledger().withAccepted(version), current.standing());
            events.record(MembershipEvent.ACCEPTED, "version", version);
        }
    }

    /**
     * Adopts changes in order. Changes that are already adopted are skipped, and those after a gap are ignored. A
     * change that does not apply ends the adoption.
     *
     * @param changes The changes in the order of their versions.
     */
    void adopt(Iterable<RecordedChange> changes) {
        for (RecordedChange recorded : changes) {
            if (recorded.version() == version() + 1) {
                Either<Failure, Ledger> next = published.ledger().with(recorded);
                if (next.isLeft()) {
                    events.record(MembershipEvent.CHANGE_REFUSED, "version", recorded.version(), "why", next.getLeft());
                    return;
                }
                recentChanges = recentChanges.append(recorded);
                recentChanges = recentChanges.size() > MAX_RECENT_CHANGES
                        ? recentChanges.drop(recentChanges.size() - MAX_RECENT_CHANGES)
                        : recentChanges;
                publish(next.get());
            }
        }
    }

    /**
     * Adopts a ledger that the store or a peer holds. One that is not later than the current one is ignored.
     *
     * @param update The ledger with the changes that led to it.
     */
    void adopt(LedgerUpdate update) {
        adopt(update.changes());
        if (update.version() > version()) {
            recentChanges = update.changes();
            publish(update.ledger().withAccepted(published.ledger().chain().accepted()));
        }
    }

    /**
     * Returns whether all changes after a version are kept, so that a peer with that version can be given changes
     * instead of a complete ledger.
     */
    boolean hasChangesAfter(long version) {
        return version >= version()
                || (!recentChanges.isEmpty() && recentChanges.head().version() <= version + 1);
    }

    /**
     * Returns kept changes after a version.
     *
     * @param limit The maximum number of changes to return.
     * @return The changes in the order of their versions.
     */
    List<RecordedChange> changesAfter(long version, int limit) {
        long current = version();
        if (recentChanges.isEmpty() || version >= current) {
            return List.of();
        }
        int from = (int) Math.max(0, version + 1 - recentChanges.head().version());
        return recentChanges
                .slice(from, Math.min(from + limit, recentChanges.size()))
                .toJavaList();
    }

    /** Publishes the next ledger and calls the listeners. */
    private void publish(Ledger ledger) {
        Configuration configuration = ledger.configuration();
        StandingState standing = published
                .standing()
                .withAdopted(configuration.version(), configuration.view())
                .withMembersOnly();
        published = new Published(ledger, standing);
        events.record(MembershipEvent.ADOPTED, "version", configuration.version(), "change", configuration.changeId());
        listeners.forEach(listener -> notifyListener(listener, configuration));
    }

    /** Calls a listener. An exception that it throws is logged, so that the other listeners are still called. */
    @SuppressWarnings("CatchingUnchecked")
    private void notifyListener(Consumer<Configuration> listener, Configuration configuration) {
        try {
            listener.accept(configuration);
        } catch (RuntimeException exception) {
            events.record(KernelEvent.DUTY_DEFECT, "listener", listener, "why", exception);
        }
    }

    /**
     * A consistent snapshot of the replica.
     *
     * @param ledger The adopted ledger.
     * @param standing What this instance knows about whether the ledger is in force.
     */
    record Published(Ledger ledger, StandingState standing) {}
}
