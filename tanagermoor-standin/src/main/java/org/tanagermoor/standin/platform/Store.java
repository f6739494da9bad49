package org.tanagermoor.standin.platform;

import io.netty.handler.codec.http.QueryStringDecoder;
import io.vavr.control.Either;
import java.util.List;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.store.client.Answer;
import org.tanagermoor.store.client.Messages;
import org.tanagermoor.store.listing.InstanceList;
import org.tanagermoor.store.listing.InstanceMessages;
import org.tanagermoor.store.object.ObjectMessages;
import org.tanagermoor.store.object.ObjectStore;
import org.tanagermoor.store.table.CommitResult;
import org.tanagermoor.store.table.TableMessages;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.store.table.Transaction;
import reactor.core.publisher.Mono;

/**
 * Carries out the operations on what is kept in memory.
 *
 * @param table The table service.
 * @param objects The object store.
 * @param instances The list of instances.
 */
record Store(TableService table, ObjectStore objects, InstanceList instances) {

    /**
     * Carries out an operation.
     *
     * @param operation The operation.
     * @param uri The path of the request with its query.
     * @param body The body of the request.
     * @return The reply, or a failure.
     */
    Mono<Either<Failure, Reply>> call(Operation operation, String uri, byte[] body) {
        return switch (operation) {
            case TABLE_READ -> read(body);
            case TABLE_SCAN -> scan(body);
            case TABLE_COMMIT -> commit(body);
            case OBJECT_PUT ->
                objects.put(parameter(uri, "name"), body).map(result -> result.map(present -> Reply.DONE));
            case OBJECT_GET ->
                objects.get(parameter(uri, "name"))
                        .map(result ->
                                result.map(found -> found.map(Reply::content).orElse(Reply.ABSENT)));
            case OBJECT_LIST -> list(uri);
            case OBJECT_DELETE ->
                objects.delete(parameter(uri, "name"))
                        .map(result ->
                                result.map(present -> Reply.json(Answer.OK, new ObjectMessages.Deleted(present))));
            case INSTANCES_READ ->
                instances
                        .read()
                        .map(result ->
                                result.map(entries -> Reply.json(Answer.OK, InstanceMessages.Items.of(entries))));
        };
    }

    /**
     * Returns a parameter of a query.
     *
     * @param uri The path with its query.
     * @param name The name of the parameter.
     * @return The value, or an empty text.
     */
    static String parameter(String uri, String name) {
        List<String> values = new QueryStringDecoder(uri).parameters().getOrDefault(name, List.of());
        return values.isEmpty() ? "" : values.getFirst();
    }

    /**
     * Returns the failure of a malformed request.
     *
     * @param step The step.
     * @param detail What is wrong.
     * @return The failure.
     */
    static Failure invalid(String step, String detail) {
        return Failure.notRun(Failure.Kind.INVALID, step, Failure.LOCAL, detail);
    }

    /**
     * Reads a row.
     *
     * @param body The body of the request.
     * @return The reply, or a failure.
     */
    private Mono<Either<Failure, Reply>> read(byte[] body) {
        return message(Operation.TABLE_READ, TableMessages.Read.class, body)
                .fold(
                        failure -> Mono.just(Either.left(failure)),
                        request -> table.read(request.key())
                                .map(result -> result.map(
                                        row -> Reply.json(Answer.OK, new TableMessages.Found(row.orElse(null))))));
    }

    /**
     * Scans rows.
     *
     * @param body The body of the request.
     * @return The reply, or a failure.
     */
    private Mono<Either<Failure, Reply>> scan(byte[] body) {
        return message(Operation.TABLE_SCAN, TableMessages.Scan.class, body)
                .fold(
                        failure -> Mono.just(Either.left(failure)),
                        request -> table.scan(request.table(), request.prefix(), request.after(), request.limit())
                                .map(result -> result.map(
                                        page -> Reply.json(Answer.OK, new TableMessages.Rows(page.rows())))));
    }

    /**
     * Commits a transaction.
     *
     * @param body The body of the request.
     * @return The reply, or a failure.
     */
    private Mono<Either<Failure, Reply>> commit(byte[] body) {
        return message(Operation.TABLE_COMMIT, Transaction.class, body)
                .fold(
                        failure -> Mono.just(Either.left(failure)),
                        transaction -> table.commit(transaction).map(result -> result.map(Store::reply)));
    }

    /**
     * Lists the names of objects.
     *
     * @param uri The path of the request with its query.
     * @return The reply, or a failure.
     */
    private Mono<Either<Failure, Reply>> list(String uri) {
        int limit;
        try {
            limit = Integer.parseInt(parameter(uri, "limit"));
        } catch (NumberFormatException exception) {
            return Mono.just(Either.left(invalid(Operation.OBJECT_LIST.label(), "the limit is not a number")));
        }
        return objects.list(parameter(uri, "prefix"), parameter(uri, "after"), limit)
                .map(result -> result.map(names -> Reply.json(Answer.OK, new ObjectMessages.Names(names))));
    }

    /**
     * Returns the reply to a commit.
     *
     * @param result How the commit ended.
     * @return The reply.
     */
    private static Reply reply(CommitResult result) {
        return switch (result) {
            case CommitResult.Committed committed -> Reply.json(Answer.OK, TableMessages.Versions.of(committed));
            case CommitResult.Conflict conflict ->
                Reply.json(Answer.CONFLICT, new TableMessages.Rows(conflict.found()));
        };
    }

    /**
     * Reads a message.
     *
     * @param <T> The type of the message.
     * @param operation The operation.
     * @param type The type of the message.
     * @param body The body of the request.
     * @return The message, or a failure.
     */
    private static <T> Either<Failure, T> message(Operation operation, Class<T> type, byte[] body) {
        return Messages.read(type, body).mapLeft(detail -> invalid(operation.label(), detail));
    }
}
