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

/**
 * Runs a request with an idempotency key at most once over all instances. Before the request is sent, a row for its key
 * is created on the condition that there is none; the outcome is recorded in that row.
 */
public final class IdempotencyGuard {

    private static final String TABLE = "idempotency";

    /** The step that creates the row. */
    private static final String STEP_BEGIN = "idempotency.begin";

    /** The maximum size of an answer that is stored for resends. */
    private static final int MAX_STORED_BYTES = 64 << 10;

    private final TableService table;

    private final EventLog events;

    private final TimeSource time;

    /**
     * Creates a guard.
     *
     * @param table Stores the records of requests.
     * @param events The log of events.
     * @param time The source of the current time.
     */
    public IdempotencyGuard(TableService table, EventLog events, TimeSource time) {
        this.table = table;
        this.events = events;
        this.time = time;
    }

    /**
     * Runs a request unless a request with the same key was run before.
     *
     * @param call The request.
     * @param idempotencyKey The idempotency key, which counts for one team and one service.
     * @param payload The request for the target.
     * @param run Runs the request when subscribed to.
     * @return The parts of the answer, from this run or as stored by an earlier one, or a failure.
     */
    public Flux<AnswerPart> run(Call call, String idempotencyKey, Payload payload, Flux<AnswerPart> run) {
        RowKey key =
                RowKey.of(TABLE, call.team().id() + "/" + call.service().name() + "/" + Digests.sha256(idempotencyKey));
        String fingerprintInput = payload.method() + " " + payload.path() + " " + Digests.sha256(payload.body());
        IdempotencyRecord record =
                IdempotencyRecord.started(call.id(), Digests.sha256(fingerprintInput), time.wallMillis());
        return claimRow(key, record)
                .flatMapMany(claim ->
                        claim.answer().map(IdempotencyGuard::replay).orElseGet(() -> runAndRecord(call, claim, run)));
    }

    /**
     * Creates the row for a request, or reads the existing one.
     *
     * @param key The key of the row.
     * @param record The record to write.
     * @return The row to proceed with, or a failure.
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
     * Reads the row after a commit whose outcome is unknown, to learn whether it took effect.
     *
     * @param key The key of the row.
     * @param record The record that the commit should have written.
     * @param commitFailure The failure of the commit.
     * @return The row to proceed with, or a failure.
     */
    private Mono<Claim> readAfterUnknownCommit(RowKey key, IdempotencyRecord record, Failure commitFailure) {
        return table.read(key)
                .flatMap(result -> result.fold(
                        failure -> Mono.error(storeFailure(failure).asException()),
                        row -> row.isEmpty()
                                ? Mono.error(storeFailure(commitFailure).asException())
                                : found(key, record, row)));
    }

    /**
     * Decides what to do about an existing row. A row of this very request means that its commit took effect; a row of
     * another one is answered from its record or is a conflict.
     *
     * @param key The key of the row.
     * @param record The record of this request.
     * @param row The existing row, if it was returned.
     * @return The row to proceed with, or a failure.
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
                        ? "the request was run before and its answer was not stored"
                        : "the request was started before and its outcome is unknown"));
    }

    /** Runs a request and records its outcome before the end of the answer reaches the caller. */
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
     * Records that a request was answered. If that fails, the caller still gets the answer.
     *
     * @param answer The answer, if it is stored.
     * @return Completes when the outcome is recorded or recording it has failed.
     */
    private Mono<Void> finish(Call call, Claim claim, Optional<IdempotencyRecord.Answer> answer) {
        byte[] value = claim.record().withAnswer(answer).toBytes();
        return commit(
                call,
                Transaction.EMPTY.withCondition(claim.key(), claim.version()).withPut(claim.key(), value));
    }

    /**
     * Removes the row of a request that was not run, so that a resend can be run.
     *
     * @return Completes when the row is removed or removing it has failed.
     */
    private Mono<Void> abandon(Call call, Claim claim) {
        return commit(
                call,
                Transaction.EMPTY.withCondition(claim.key(), claim.version()).withDelete(claim.key()));
    }

    /** Removes the row of a request whose caller disconnected before the request was sent. */
    private void abandonUnsent(Call call, Claim claim) {
        if (!call.isSent()) {
            abandon(call, claim).subscribe();
        }
    }

    /**
     * Commits a transaction. A failure is only logged.
     *
     * @return Completes in every case.
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

    /** Returns the parts of a stored answer. */
    private static Flux<AnswerPart> replay(IdempotencyRecord.Answer answer) {
        return Flux.just(answer.head(), new AnswerPart.Piece(answer.body()), new AnswerPart.End());
    }

    /**
     * Returns the failure of a request whose row could not be created. Nothing was sent to a target.
     *
     * @param failure The failure of the table service.
     */
    private static Failure storeFailure(Failure failure) {
        return Failure.notRun(
                Kind.UNAVAILABLE, STEP_BEGIN, failure.peer(), "the record of the idempotency key cannot be written");
    }

    /**
     * Returns the exception for a request whose idempotency key is in use.
     *
     * @param execution Whether the request may have been executed.
     */
    private static RuntimeException conflict(Execution execution, String detail) {
        return new Failure(Kind.CONFLICT, STEP_BEGIN, Failure.LOCAL, detail, execution).asException();
    }

    /**
     * The row of a request.
     *
     * @param key The key of the row.
     * @param record The record that the row holds.
     * @param version The version of the row, on which further writes are conditional.
     * @param answer The stored answer of an earlier run; empty if this request is to be run.
     */
    private record Claim(
            RowKey key, IdempotencyRecord record, long version, Optional<IdempotencyRecord.Answer> answer) {}
}
