package org.tanagermoor.store.object;

import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.store.client.Answer;
import org.tanagermoor.store.client.Call;
import org.tanagermoor.store.client.Messages;
import org.tanagermoor.store.client.PlatformClient;
import reactor.core.publisher.Mono;

/**
 * The platform's object store. Names consist of letters, digits and {@code . _ - /}. Failures have the same kinds as
 * those of {@link org.tanagermoor.store.table.TableService}.
 */
public interface ObjectStore {

    /**
     * Stores an object, replacing any object with the same name.
     *
     * @return {@code true} if the object was stored, or a failure.
     */
    Mono<Either<Failure, Boolean>> put(String name, byte[] content);

    /**
     * Reads the content of an object.
     *
     * @return The content, empty if there is no such object, or a failure.
     */
    Mono<Either<Failure, Optional<byte[]>>> get(String name);

    /**
     * Lists the names of objects that begin with a prefix, in ascending order.
     *
     * @param prefix The prefix, which may be empty.
     * @param after The name after which the listing starts (exclusive), or an empty string to start at the first name.
     * @param limit The maximum number of names to return, from 1 to 1,000.
     * @return The names, or a failure.
     */
    Mono<Either<Failure, List<String>>> list(String prefix, String after, int limit);

    /**
     * Deletes the object of a name, if there is one.
     *
     * @return Whether it existed, or a failure.
     */
    Mono<Either<Failure, Boolean>> delete(String name);

    /** An object store that keeps its objects in the memory of this process. Thread-safe. */
    final class InMemory implements ObjectStore {

        private static final Pattern VALID_NAME = Pattern.compile("[A-Za-z0-9._/-]{1,512}");

        /** The maximum number of names in a listing. */
        private static final int MAX_LIMIT = 1_000;

        /** The contents by name; the order is that of listings. */
        private final ConcurrentSkipListMap<String, byte[]> objects = new ConcurrentSkipListMap<>();

        private InMemory() {}

        /** Creates a store without objects. */
        public static InMemory of() {
            return new InMemory();
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, Boolean>> put(String name, byte[] content) {
            return ifNameValid(ForHttp.PUT_STEP, name, () -> {
                objects.put(name, content);
                return true;
            });
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, Optional<byte[]>>> get(String name) {
            return ifNameValid(ForHttp.GET_STEP, name, () -> Optional.ofNullable(objects.get(name)));
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, List<String>>> list(String prefix, String after, int limit) {
            return Mono.fromSupplier(() -> limit < 1 || limit > MAX_LIMIT
                    ? Either.left(invalid(ForHttp.LIST_STEP, "the limit must be from 1 to " + MAX_LIMIT))
                    : Either.right(names(prefix, after, limit)));
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, Boolean>> delete(String name) {
            return ifNameValid(ForHttp.DELETE_STEP, name, () -> objects.remove(name) != null);
        }

        /** Returns up to {@code limit} names that begin with the prefix and follow {@code after}, in order. */
        private List<String> names(String prefix, String after, int limit) {
            boolean inclusive = prefix.compareTo(after) > 0;
            return objects.tailMap(inclusive ? prefix : after, inclusive).keySet().stream()
                    .takeWhile(name -> name.startsWith(prefix))
                    .limit(limit)
                    .toList();
        }

        /**
         * Runs an action on an object if its name is valid.
         *
         * @param step The step that the failure names.
         * @return The result of the action, or a failure if the name is not valid.
         */
        private static <T> Mono<Either<Failure, T>> ifNameValid(String step, String name, Supplier<T> action) {
            return Mono.fromSupplier(() -> VALID_NAME.matcher(name).matches()
                    ? Either.right(action.get())
                    : Either.left(invalid(step, "the name is not allowed: " + name)));
        }

        /** Returns the failure of a call with an invalid argument, which was not executed. */
        private static Failure invalid(String step, String detail) {
            return Failure.notRun(Failure.Kind.INVALID, step, Failure.LOCAL, detail);
        }
    }

    /** The object store of a remote platform, called over HTTP. */
    final class ForHttp implements ObjectStore {

        /** The step that failures of {@link #put} name. */
        public static final String PUT_STEP = "object.put";

        /** The step that failures of {@link #get} name. */
        public static final String GET_STEP = "object.get";

        /** The step that failures of {@link #list} name. */
        public static final String LIST_STEP = "object.list";

        /** The step that failures of {@link #delete} name. */
        public static final String DELETE_STEP = "object.delete";

        /** The meter that counts calls of {@link #get} and {@link #list}. */
        private static final String READS = "platform.object.reads";

        /** The meter that counts calls of {@link #put} and {@link #delete}. */
        private static final String WRITES = "platform.object.writes";

        private final PlatformClient client;

        private ForHttp(PlatformClient client) {
            this.client = client;
        }

        /**
         * Creates a store that calls the platform through a client.
         *
         * @param client The client, which the store does not close.
         */
        public static ObjectStore of(PlatformClient client) {
            return new ForHttp(client);
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, Boolean>> put(String name, byte[] content) {
            Call call = Call.idempotent(PUT_STEP, WRITES, HttpMethod.PUT, path(name), content);
            return client.exchange(call).map(result -> result.map(answer -> true));
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, Optional<byte[]>>> get(String name) {
            Call call = Call.idempotent(GET_STEP, READS, HttpMethod.GET, path(name), Call.NO_BODY)
                    .withAnswer(Answer.NOT_FOUND);
            return client.exchange(call)
                    .map(result -> result.map(
                            answer -> answer.status() == Answer.OK ? Optional.of(answer.body()) : Optional.empty()));
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, List<String>>> list(String prefix, String after, int limit) {
            String path =
                    "/object-names?prefix=" + urlEncoded(prefix) + "&after=" + urlEncoded(after) + "&limit=" + limit;
            Call call = Call.idempotent(LIST_STEP, READS, HttpMethod.GET, path, Call.NO_BODY);
            return client.exchange(call)
                    .map(result -> result.flatMap(answer -> parse(call, ObjectMessages.Names.class, answer))
                            .map(ObjectMessages.Names::names));
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, Boolean>> delete(String name) {
            Call call = Call.once(DELETE_STEP, WRITES, HttpMethod.DELETE, path(name), Call.NO_BODY);
            return client.exchange(call)
                    .map(result -> result.flatMap(answer -> parse(call, ObjectMessages.Deleted.class, answer))
                            .map(ObjectMessages.Deleted::present));
        }

        /** Parses the body of an answer as a message, or returns a failure if it is malformed. */
        private <T> Either<Failure, T> parse(Call call, Class<T> type, Answer answer) {
            return Messages.read(type, answer.body()).mapLeft(detail -> client.corrupt(call, detail));
        }

        /** Returns the path and query of the URI for an object. */
        private static String path(String name) {
            return "/objects?name=" + urlEncoded(name);
        }

        /** Encodes a value for use in the query of a URI. */
        private static String urlEncoded(String text) {
            return URLEncoder.encode(text, StandardCharsets.UTF_8);
        }
    }
}
