package org.tanagermoor.gateway.follow;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.kernel.failure.Failure;
import reactor.core.publisher.Mono;

/** Reads tables of the control store and the changes to them. */
public interface ChangeFeed {

    /**
     * Reads a complete table.
     *
     * @param table The name of the table.
     * @return A {@link Answer.Snapshot}, or a failure.
     */
    Mono<Either<Failure, Answer>> snapshot(String table);

    /**
     * Waits for changes to a table.
     *
     * @param table The name of the table.
     * @param after The revision after which changes are returned.
     * @param wait The maximum time to wait for a change.
     * @return The changes, which may be none; {@link Answer.HistoryLost} if they are no longer available; or a
     *     failure.
     */
    Mono<Either<Failure, Answer>> changes(String table, long after, Duration wait);

    /** An answer of the store. */
    sealed interface Answer {

        /**
         * All rows of a table.
         *
         * @param rows The rows.
         * @param revision The revision after which changes are to be read.
         * @param storeMillis The time of the store's steady clock in milliseconds; 0 if it is not known.
         */
        record Snapshot(List<Change> rows, long revision, long storeMillis) implements Answer {

            /** Creates an answer that does not state the time of the store. */
            public Snapshot(List<Change> rows, long revision) {
                this(rows, revision, 0);
            }
        }

        /**
         * Changes in the order in which they were made.
         *
         * @param rows The changes.
         * @param revision The revision after which the next changes are to be read.
         * @param storeMillis The time of the store's steady clock in milliseconds; 0 if it is not known.
         */
        record Changes(List<Change> rows, long revision, long storeMillis) implements Answer {

            /** Creates an answer that does not state the time of the store. */
            public Changes(List<Change> rows, long revision) {
                this(rows, revision, 0);
            }
        }

        /** The changes since the revision are no longer available, or too many; the complete table must be read. */
        record HistoryLost() implements Answer {}
    }

    /**
     * A row of a table, or a change of one.
     *
     * @param key The key.
     * @param version The version of the row.
     * @param value The bytes; {@code null} if the row was removed.
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Change(String key, long version, byte @Nullable [] value) {}
}
