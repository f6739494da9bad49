package org.tanagermoor.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import org.reactivestreams.Publisher;
import org.tanagermoor.http.Bodies;
import org.tanagermoor.http.Responses;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.store.client.Answer;
import org.tanagermoor.store.client.Messages;
import org.tanagermoor.store.client.PlatformClient;
import org.tanagermoor.store.listing.InstanceList;
import org.tanagermoor.store.listing.InstanceMessages;
import org.tanagermoor.store.object.ObjectStore;
import org.tanagermoor.store.table.TableService;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** The stand-in for the platform as an HTTP server. What it keeps is lost when it is closed. */
public final class PlatformServer implements AutoCloseable {

    /** The most bytes of a request. */
    private static final int BODY_MOST = 64 << 20;

    /** The time for finishing requests at a stop. */
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(1);

    /** The source of the present time. */
    private final TimeSource time;

    /** What is kept. */
    private final Store store;

    /** The list of instances. */
    private final InstanceList.InMemory instances;

    /** The faults that are switched on. */
    private final Faults faults = new Faults();

    /** The counters. */
    private final Counters counters = new Counters();

    /** The limit of reads. */
    private final RateLimit reads;

    /** The limit of writes. */
    private final RateLimit writes;

    /** The running server. */
    private final DisposableServer server;

    /**
     * Starts a server.
     *
     * @param address The address on which to listen.
     * @param limits The limits of the platform.
     * @param time The source of the present time.
     */
    private PlatformServer(Address address, Limits limits, TimeSource time) {
        this.time = time;
        instances = InstanceList.InMemory.of(limits.listLag(), time);
        store = new Store(TableService.InMemory.of(), ObjectStore.InMemory.of(), instances);
        reads = new RateLimit(limits.readsPerSecond(), time.nanos());
        writes = new RateLimit(limits.writesPerSecond(), time.nanos());
        server = HttpServer.create()
                .bindAddress(address::toSocketAddress)
                .route(this::route)
                .bindNow();
    }

    /**
     * Starts a server.
     *
     * @param address The address on which to listen; port 0 lets the system choose one.
     * @param limits The limits of the platform.
     * @param time The source of the present time.
     * @return A running server.
     */
    public static PlatformServer start(Address address, Limits limits, TimeSource time) {
        return new PlatformServer(address, limits, time);
    }

    /**
     * Returns the address on which this server listens.
     *
     * @return The address on which this server listens.
     */
    public Address address() {
        InetSocketAddress bound = (InetSocketAddress) server.address();
        return Address.of(bound.getAddress().getHostAddress(), bound.getPort());
    }

    /**
     * Returns the faults that are switched on.
     *
     * @return The faults that are switched on.
     */
    public Faults faults() {
        return faults;
    }

    /**
     * Returns the list of instances.
     *
     * @return The list of instances.
     */
    public InstanceList.InMemory instances() {
        return instances;
    }

    /**
     * Returns the number of calls of an operation that were not refused.
     *
     * @param operation The operation.
     * @return The number of calls.
     */
    public long accepted(Operation operation) {
        return counters.total(operation);
    }

    /** Waits until this server is closed. */
    void await() {
        server.onDispose().block();
    }

    /** Stops this server. */
    @Override
    public void close() {
        server.disposeNow(STOP_TIMEOUT);
    }

    /**
     * Registers the handlers.
     *
     * @param routes Receives the handlers.
     */
    private void route(HttpServerRoutes routes) {
        routes.post("/table/read", (request, response) -> call(Operation.TABLE_READ, request, response))
                .post("/table/scan", (request, response) -> call(Operation.TABLE_SCAN, request, response))
                .post("/table/commit", (request, response) -> call(Operation.TABLE_COMMIT, request, response))
                .put("/objects", (request, response) -> call(Operation.OBJECT_PUT, request, response))
                .get("/objects", (request, response) -> call(Operation.OBJECT_GET, request, response))
                .delete("/objects", (request, response) -> call(Operation.OBJECT_DELETE, request, response))
                .get("/object-names", (request, response) -> call(Operation.OBJECT_LIST, request, response))
                .get("/instances", (request, response) -> call(Operation.INSTANCES_READ, request, response))
                .put("/instances", this::putInstance)
                .delete("/instances", this::deleteInstance)
                .put("/faults", this::putFaults)
                .delete("/faults", this::deleteFaults)
                .get(
                        "/counters",
                        (request, response) -> Responses.json(response, Answer.OK, counters.toJson(time.nanos())));
    }

    /**
     * Handles a call of an operation.
     *
     * @param operation The operation.
     * @param request The request.
     * @param response The response.
     * @return Completes when the response is written.
     */
    private Publisher<Void> call(Operation operation, HttpServerRequest request, HttpServerResponse response) {
        echo(request, response);
        Fault fault = faults.take(operation);
        long now = time.nanos();
        Optional<Failure> refusal = refusal(operation, fault, now);
        if (refusal.isPresent()) {
            counters.refused(now);
            return Responses.refusal(response, refusal.get());
        }
        counters.accepted(operation, now);
        String uri = request.uri();
        Mono<Either<Failure, Reply>> result = Bodies.read(request, BODY_MOST)
                .flatMap(body -> body.fold(
                        failure -> Mono.just(Either.<Failure, Reply>left(failure)),
                        bytes -> detached(store.call(operation, uri, bytes), fault.slow())));
        return result.flatMap(reply -> fault.losesAnswer() ? abandon(request) : answer(response, reply));
    }

    /**
     * Repeats the identity of the exchange in the response.
     *
     * @param request The request.
     * @param response The response.
     */
    private static void echo(HttpServerRequest request, HttpServerResponse response) {
        String id = request.requestHeaders().get(PlatformClient.ID_HEADER);
        if (id != null) {
            response.header(PlatformClient.ID_HEADER, id);
        }
    }

    /**
     * Returns why a call is refused.
     *
     * @param operation The operation.
     * @param fault The faults that the call meets.
     * @param now The present monotonic time in nanoseconds.
     * @return The failure, if the call is refused.
     */
    private Optional<Failure> refusal(Operation operation, Fault fault, long now) {
        if (fault.down()) {
            return Optional.of(refused(Failure.Kind.UNAVAILABLE, operation, "the platform is down"));
        }
        RateLimit limit = operation.write() ? writes : reads;
        if (fault.rateLimited() || !limit.acquire(now)) {
            return Optional.of(refused(Failure.Kind.RATE_LIMITED, operation, "the rate is used up"));
        }
        return Optional.empty();
    }

    /**
     * Returns the failure of a call that is refused.
     *
     * @param kind The kind of failure.
     * @param operation The operation.
     * @param detail Why it is refused.
     * @return The failure.
     */
    private static Failure refused(Failure.Kind kind, Operation operation, String detail) {
        return Failure.notRun(kind, operation.label(), Failure.LOCAL, detail);
    }

    /**
     * Lets an operation take effect also when the caller does not wait for it.
     *
     * @param work The operation.
     * @param delay The time by which it takes effect late.
     * @return Its result.
     */
    private static Mono<Either<Failure, Reply>> detached(Mono<Either<Failure, Reply>> work, Duration delay) {
        Mono<Either<Failure, Reply>> result = (delay.isZero() ? work : work.delaySubscription(delay)).cache();
        result.subscribe();
        return result;
    }

    /**
     * Closes the connection of a request instead of answering it.
     *
     * @param request The request.
     * @return Never completes.
     */
    private static Mono<Void> abandon(HttpServerRequest request) {
        request.withConnection(Connection::dispose);
        return Mono.never();
    }

    /**
     * Writes the answer to a call.
     *
     * @param response The response.
     * @param result The result.
     * @return Completes when the response is written.
     */
    private static Mono<Void> answer(HttpServerResponse response, Either<Failure, Reply> result) {
        return result.fold(
                failure -> Responses.refusal(response, failure),
                reply -> response.status(reply.status())
                        .header(HttpHeaderNames.CONTENT_TYPE, reply.type())
                        .header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(reply.body().length))
                        .sendByteArray(Mono.just(reply.body()))
                        .then());
    }

    /**
     * Puts an instance into the list.
     *
     * @param request The request.
     * @param response The response.
     * @return Completes when the response is written.
     */
    private Publisher<Void> putInstance(HttpServerRequest request, HttpServerResponse response) {
        return Bodies.read(request, BODY_MOST)
                .map(body -> body.flatMap(bytes -> Messages.read(InstanceMessages.Item.class, bytes)
                        .flatMap(InstanceMessages.Item::entry)
                        .mapLeft(detail -> Store.invalid("instances.put", detail))))
                .flatMap(entry -> answer(response, entry.peek(instances::put).map(put -> Reply.DONE)));
    }

    /**
     * Removes an instance from the list.
     *
     * @param request The request.
     * @param response The response.
     * @return Completes when the response is written.
     */
    private Publisher<Void> deleteInstance(HttpServerRequest request, HttpServerResponse response) {
        instances.remove(Store.parameter(request.uri(), "name"));
        return answer(response, Either.right(Reply.DONE));
    }

    /**
     * Switches faults.
     *
     * @param request The request.
     * @param response The response.
     * @return Completes when the response is written.
     */
    private Publisher<Void> putFaults(HttpServerRequest request, HttpServerResponse response) {
        return Bodies.readJson(request, BODY_MOST)
                .map(body -> body.flatMap(this::switchFaults))
                .flatMap(result -> answer(response, result));
    }

    /**
     * Switches faults.
     *
     * @param node The faults and the operation.
     * @return The reply, or a failure.
     */
    private Either<Failure, Reply> switchFaults(JsonNode node) {
        String label = node.path("operation").asText();
        Optional<Operation> operation = Operation.find(label);
        if (label.equals("all")) {
            faults.setAll(Fault.of(node));
        } else if (operation.isPresent()) {
            faults.set(operation.get(), Fault.of(node));
        } else {
            return Either.left(Store.invalid("faults.put", "there is no operation of this name: " + label));
        }
        return Either.right(Reply.DONE);
    }

    /**
     * Switches all faults off.
     *
     * @param request The request.
     * @param response The response.
     * @return Completes when the response is written.
     */
    private Publisher<Void> deleteFaults(HttpServerRequest request, HttpServerResponse response) {
        faults.clear();
        return answer(response, Either.right(Reply.DONE));
    }
}
