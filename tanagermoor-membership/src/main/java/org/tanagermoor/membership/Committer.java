package org.tanagermoor.membership;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.membership.gossip.Inbox;
import org.tanagermoor.membership.gossip.Input;
import org.tanagermoor.membership.store.ChangeStore;
import org.tanagermoor.membership.store.Head;
import org.tanagermoor.membership.store.LedgerUpdate;
import org.tanagermoor.membership.store.Steps;
import org.tanagermoor.policy.configuration.Change;
import org.tanagermoor.policy.configuration.Ledger;
import org.tanagermoor.policy.configuration.RecordedChange;
import reactor.core.publisher.Mono;

/** Records changes by conditional writes of the head row. */
final class Committer implements Changes {

    /** The step that failures name. */
    private static final String STEP = "change.record";

    /** The maximum number of attempts to record a change that may be based on any version. */
    private static final int MAX_ATTEMPTS = 8;

    /**
     * The maximum delay before the second attempt; it doubles with each further attempt. The delay is random, so that
     * instances that compete do not collide again.
     */
    private static final long INITIAL_MAX_DELAY_MILLIS = 10;

    private final ChangeStore store;

    /** Returns the ledger that this instance has adopted. */
    private final Supplier<Ledger> adopted;

    /** Receives recorded changes and waiting callers, for the membership duty. */
    private final Inbox inbox;

    /**
     * Creates a committer.
     *
     * @param adopted Returns the ledger that this instance has adopted.
     * @param inbox Receives recorded changes and waiting callers, for the membership duty.
     */
    Committer(ChangeStore store, Supplier<Ledger> adopted, Inbox inbox) {
        this.store = store;
        this.adopted = adopted;
        this.inbox = inbox;
    }

    /** {@inheritDoc} */
    @Override
    public Mono<Either<Failure, Long>> record(Change change, String changeId, OptionalLong ifVersion) {
        return Mono.defer(() -> attempt(new RequestedChange(change, changeId, ifVersion), MAX_ATTEMPTS));
    }

    /** {@inheritDoc} */
    @Override
    public Mono<Either<Failure, Optional<Long>>> find(String changeId) {
        return store.versionOf(changeId);
    }

    /** {@inheritDoc} */
    @Override
    public Mono<Boolean> accepted(long version, Duration timeout) {
        return Mono.<Boolean>create(sink -> {
                    sink.onCancel(() -> inbox.offer(new Input.AwaitAbandoned(sink)));
                    if (!inbox.offer(new Input.AcceptanceAwaited(version, sink))) {
                        sink.success(false);
                    }
                })
                .timeout(timeout, Mono.just(false));
    }

    /**
     * Attempts to record a change, unless one with its ID is already recorded.
     *
     * @param attemptsLeft The number of attempts that are left, including this one.
     * @return The version or a failure.
     */
    private Mono<Either<Failure, Long>> attempt(RequestedChange requested, int attemptsLeft) {
        return Steps.then(
                store.versionOf(requested.changeId()),
                found -> found.<Mono<Either<Failure, Long>>>map(Steps::succeeded)
                        .orElseGet(
                                () -> Steps.then(store.head(), head -> attemptOnHead(requested, head, attemptsLeft))));
    }

    /**
     * Attempts to record a change on top of a head.
     *
     * @param base The head.
     * @return The version, or a failure of kind {@link Failure.Kind#CONFLICT} if the change must be based on another
     *     version.
     */
    private Mono<Either<Failure, Long>> attemptOnHead(RequestedChange requested, Head base, int attemptsLeft) {
        if (requested.ifVersion().isPresent() && requested.ifVersion().getAsLong() != base.version()) {
            return Steps.failed(conflict(base.version()));
        }
        return Steps.then(
                store.catchUp(adopted.get(), base.version()),
                update -> update.version() == base.version()
                        ? write(requested, base, update, attemptsLeft)
                        : retry(requested, update.version(), attemptsLeft));
    }

    /**
     * Writes a change on top of a ledger.
     *
     * @param base The head.
     * @param update The ledger at the version of that head.
     * @return The version or a failure.
     */
    private Mono<Either<Failure, Long>> write(
            RequestedChange requested, Head base, LedgerUpdate update, int attemptsLeft) {
        RecordedChange recorded = new RecordedChange(
                base.version() + 1,
                requested.changeId(),
                update.ledger().chain().accepted(),
                requested.change());
        return Steps.then(
                Mono.just(update.with(recorded)),
                next -> Steps.then(
                        store.record(base, recorded),
                        succeeded -> succeeded ? recorded(next) : retry(requested, base.version() + 1, attemptsLeft)));
    }

    /** Tells the duty about a change that is recorded, and returns its version. */
    private Mono<Either<Failure, Long>> recorded(LedgerUpdate update) {
        inbox.offer(new Input.Recorded(update));
        return Steps.succeeded(update.version());
    }

    /**
     * Tries again after the head has moved, if the change may be based on any version and attempts are left. Otherwise
     * fails with a conflict.
     *
     * @param currentVersion The minimum version that can be in force; named by the failure where the head cannot be
     *     read.
     * @return The version or a failure.
     */
    private Mono<Either<Failure, Long>> retry(RequestedChange requested, long currentVersion, int attemptsLeft) {
        if (requested.ifVersion().isEmpty() && attemptsLeft > 1) {
            long maxDelayMillis = INITIAL_MAX_DELAY_MILLIS << (MAX_ATTEMPTS - attemptsLeft);
            Duration delay = Duration.ofMillis(ThreadLocalRandom.current().nextLong(1, maxDelayMillis + 1));
            return Mono.delay(delay).flatMap(tick -> attempt(requested, attemptsLeft - 1));
        }
        return store.head()
                .map(head -> Either.left(conflict(head.map(Head::version).getOrElse(currentVersion))));
    }

    /**
     * Returns the failure of a change that lost against a concurrent change.
     *
     * @param currentVersion The version in force.
     */
    private static Failure conflict(long currentVersion) {
        return Failure.notRun(Failure.Kind.CONFLICT, STEP, Failure.LOCAL, "version " + currentVersion + " is in force");
    }

    /**
     * A change that is to be recorded.
     *
     * @param changeId The ID of the change, which makes the recording idempotent.
     * @param ifVersion The version on which it must be based, if any.
     */
    private record RequestedChange(Change change, String changeId, OptionalLong ifVersion) {}
}
