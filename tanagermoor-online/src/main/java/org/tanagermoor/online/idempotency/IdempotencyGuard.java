package org.tanagermoor.online.idempotency;

import java.util.Optional;
import org.tanagermoor.http.Digests;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Execution;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.failure.Failure.Kind;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.online.OnlineEvent;
import org.tanagermoor.online.admission.Call;
import org.tanagermoor.online.admission.Failures;
import org.tanagermoor.online.attempt.Payload;
import org.tanagermoor.store.table.CommitResult;
import org.tanagermoor.store.table.Row;
import org.tanagermoor.store.table.RowKey;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.store.table.Transaction;
import org.tanagermoor.target.client.AnswerPart;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Lets a request with an idempotency key run at most once over all instances, by a conditional row. */
public final class IdempotencyGuard {

    /** The table of the records. */
    private static final String TABLE = "idempotency";

    /** The step of making a record. */
    private static final String STEP_BEGIN = "idempotency.begin";

    /** The largest answer that is kept, in bytes. */
    private static final int MAX_STORED_BYTES = 64 << 10;

    /** The table service. */
    private final TableService table;

    /** The log of events. */
    private final EventLog events;

    /** The source of the present time. */
    private final TimeSource time;

    /**
     * Creates a guard.
     *
     * @param table The table service.
     * @param events The log of events.
     * @param time The source of the present time.
     */
    public IdempotencyGuard(TableService table, EventLog events, TimeSource time) {
        this.table = table;
        this.events = events;
        this.time = time;
    }

    /**
     * Runs a request unless it was run before.
     *
     * @param call The request.
     * @param idempotencyKey The idempotency key.
     * @param payload What goes to the target.
     * @param run Runs the request.
     * @return The parts of the answer, from this run or from the record of an earlier one, or a failure.
     */
    public Flux<AnswerPart> run(Call call, String idempotencyKey, Payload payload, Flux<AnswerPart> run) {
        RowKey key =
                RowKey.of(TABLE, call.team().id() + "/" + call.service().name() + "/" + Digests.sha256(idempotencyKey));
        String fingerprintInput = payload.method() + " " + payload.path() + " " + Digests.sha256(payload.body());
        IdempotencyRecord record = IdempotencyRecord.started(call.id(), Digests.sha256(fingerprintInput), time.wallMillis());
        return claimRow(key, record)
                .flatMapMany(claim ->
                        claim.answer().map(IdempotencyGuard::replay).orElseGet(() -> runAndRecord(call, claim, run)));
    }

    /**
     * Makes the record, or finds the one that is there.
     *
     * @param key The key of the row.
     * @param record The record.
     * @return What is to be done, or a failure.
     */
    private Mono<Claim> claimRow(RowKey key, IdempotencyRecord record) {
        Transaction transaction =
                Transaction.EMPTY.withCondition(key, Transaction.ABSENT).withPut(key, record.toBytes());
        return table.commit(transaction)
                .flatMap(result -> result.fold(
                        failure -> failure.execution() == Execution.NOT_RUN
                                ? Mono.error(storeFailure(failure).asException())
                                : readAfterUnknownCommit(key, record, failure),
                        committed -> switch (committed) {
                            case CommitResult.Committed done ->
                                Mono.just(new Claim(
                                        key, record, done.versions().getOrDefault(key, 0L), Optional.empty()));
                            case CommitResult.Conflict conflict ->
                                found(key, record, conflict.found().stream().findFirst());
                        }));
    }

    /**
     * Reads the record back after the answer to its commit was lost.
     *
     * @param key The key of the row.
     * @param record The record.
     * @param commitFailure How the commit failed.
     * @return What is to be done, or a failure.
     */
    private Mono<Claim> readAfterUnknownCommit(RowKey key, IdempotencyRecord record, Failure commitFailure) {
        return table.read(key)
                .flatMap(result -> result.fold(
                        failure -> Mono.error(storeFailure(failure).asException()),
                        row -> row.isEmpty() ? Mono.error(storeFailure(commitFailure).asException()) : found(key, record, row)));
    }

    /**
     * Decides by the record that is there.
     *
     * @param key The key of the row.
     * @param record The record that was to be made.
     * @param row The row that is there.
     * @return What is to be done, or a failure.
     */
    private static Mono<Claim> found(RowKey key, IdempotencyRecord record, Optional<Row> row) {
        Optional<IdempotencyRecord> stored = row.flatMap(found -> IdempotencyRecord.read(found.value()));
        if (row.isEmpty() || stored.isEmpty()) {
            return Mono.error(conflict(Execution.UNKNOWN, "the record of the idempotency key cannot be read"));
        }
        IdempotencyRecord existing = stored.get();
        if (existing.owner().equals(record.owner())) {
            return Mono.just(new Claim(key, record, row.get().version(), Optional.empty()));
        }
        if (!existing.fingerprint().equals(record.fingerprint())) {
            return Mono.error(conflict(Execution.NOT_RUN, "the idempotency key was used for another request"));
        }
        if (existing.answer().isPresent()) {
            return Mono.just(new Claim(key, existing, row.get().version(), existing.answer()));
        }
        return Mono.error(conflict(
                Execution.UNKNOWN,
                existing.finished()
                        ? "the request was run before and its answer was not kept"
                        : "the request was begun before and its outcome is not known"));
    }

    /**
     * Runs a request and records its outcome before the end of the answer goes to the caller.
     *
     * @param call The request.
     * @param claim The record.
     * @param run Runs the request.
     * @return The parts of the answer, or a failure.
     */
    private Flux<AnswerPart> runAndRecord(Call call, Claim claim, Flux<AnswerPart> run) {
        AnswerCapture capture = new AnswerCapture(MAX_STORED_BYTES);
        return run.doOnNext(capture::add)
                .concatMap(part -> part instanceof AnswerPart.End
                        ? finish(call, claim, capture.answer()).thenReturn(part)
                        : Mono.just(part))
                .onErrorResume(error -> Failures.of(error).execution() == Execution.NOT_RUN
                        ? abandon(call, claim).then(Mono.error(error))
                        : Mono.error(error))
                .doOnCancel(() -> abandonUnsent(call, claim));
    }

    /**
     * Records that a request was answered. The caller gets the answer even where that fails.
     *
     * @param call The request.
     * @param claim The record.
     * @param answer The answer, if it is kept.
     * @return Completes when it was recorded or could not be.
     */
    private Mono<Void> finish(Call call, Claim claim, Optional<IdempotencyRecord.Answer> answer) {
        byte[] value = claim.record().withAnswer(answer).toBytes();
        return commit(
                call,
                Transaction.EMPTY.withCondition(claim.key(), claim.version()).withPut(claim.key(), value));
    }

    /**
     * Removes the record of a request that was not run, so that a resend can be run.
     *
     * @param call The request.
     * @param claim The record.
     * @return Completes when it was removed or could not be.
     */
    private Mono<Void> abandon(Call call, Claim claim) {
        return commit(
                call,
                Transaction.EMPTY.withCondition(claim.key(), claim.version()).withDelete(claim.key()));
    }

    /**
     * Removes the record of a request whose caller went away before it was sent.
     *
     * @param call The request.
     * @param claim The record.
     */
    private void abandonUnsent(Call call, Claim claim) {
        if (!call.isSent()) {
            abandon(call, claim).subscribe();
        }
    }

    /**
     * Commits a transaction, and only logs where that fails.
     *
     * @param call The request.
     * @param transaction The transaction.
     * @return Completes in any case.
     */
    private Mono<Void> commit(Call call, Transaction transaction) {
        return table.commit(transaction)
                .doOnNext(result -> {
                    if (result.isLeft() || result.get() instanceof CommitResult.Conflict) {
                        events.record(
                                OnlineEvent.OUTCOME_UNRECORDED,
                                "request",
                                call.id(),
                                "reason",
                                result.fold(Failure::kind, ignored -> Kind.CONFLICT));
                    }
                })
                .then();
    }

    /**
     * Returns the parts of an answer that was kept.
     *
     * @param answer The answer.
     * @return The parts.
     */
    private static Flux<AnswerPart> replay(IdempotencyRecord.Answer answer) {
        return Flux.just(answer.head(), new AnswerPart.Piece(answer.body()), new AnswerPart.End());
    }

    /**
     * Returns the failure of a request whose record could not be made. Nothing went to a target.
     *
     * @param failure The failure of the table service.
     * @return The failure.
     */
    private static Failure storeFailure(Failure failure) {
        return Failure.notRun(
                Kind.UNAVAILABLE, STEP_BEGIN, failure.peer(), "the record of the idempotency key cannot be made");
    }

    /**
     * Returns the exception of a request whose idempotency key is taken.
     *
     * @param execution Whether the request may have been executed.
     * @param detail A sentence for people.
     * @return The exception.
     */
    private static RuntimeException conflict(Execution execution, String detail) {
        return new Failure(Kind.CONFLICT, STEP_BEGIN, Failure.LOCAL, detail, execution).asException();
    }

    /**
     * A record that is there.
     *
     * @param key The key of the row.
     * @param record The record.
     * @param version The version of the row.
     * @param answer The answer of an earlier run, if the request is not to be run.
     */
    private record Claim(
            RowKey key, IdempotencyRecord record, long version, Optional<IdempotencyRecord.Answer> answer) {}
}
