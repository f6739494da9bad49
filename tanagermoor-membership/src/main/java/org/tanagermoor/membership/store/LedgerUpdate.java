package org.tanagermoor.membership.store;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.configuration.Ledger;
import org.tanagermoor.policy.configuration.RecordedChange;

/**
 * A ledger with the latest of the recorded changes that led to it.
 *
 * @param changes The changes without a gap, the last of which made the version of the ledger; may be empty.
 */
public record LedgerUpdate(Ledger ledger, Vector<RecordedChange> changes) {

    /** Returns a ledger without changes. */
    public static LedgerUpdate of(Ledger ledger) {
        return new LedgerUpdate(ledger, Vector.empty());
    }

    /** Returns the version of the ledger. */
    public long version() {
        return ledger.version();
    }

    /**
     * Returns the ledger after one more change.
     *
     * @return The ledger with the change, or a failure if the change does not apply.
     */
    public Either<Failure, LedgerUpdate> with(RecordedChange recorded) {
        return ledger.with(recorded).map(next -> new LedgerUpdate(next, changes.append(recorded)));
    }
}
