package org.tanagermoor.online.admission;

import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.tanagermoor.budget.Budgets;
import org.tanagermoor.http.Keys;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.failure.Failure.Kind;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.configuration.Service;
import org.tanagermoor.policy.configuration.Team;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TeamId;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Admits requests. The checks run in this order: the standing of the instance (whether it may act on its
 * configuration), the key of the caller, the service, and the budget of the team.
 */
public final class Admission {

    /** The request header with the time that the caller waits for its answer, in milliseconds. */
    public static final String DEADLINE_HEADER = "x-deadline-ms";

    /** The team of requests without a known key, which may use only open services. */
    private static final Team ANONYMOUS = Team.of(TeamId.of("-"), 1, 1, 1);

    /** The time that a caller waits if its request has no deadline header. */
    private static final long DEFAULT_DEADLINE_MILLIS = 30_000;

    private static final long MAX_DEADLINE_MILLIS = 3_600_000;

    private static final String STEP_STANDING = "admission.standing";

    private static final String STEP_KEY = "admission.key";

    private static final String STEP_SERVICE = "admission.service";

    private final Membership membership;

    private final Budgets budgets;

    private final TimeSource time;

    /** The number of request ids that were assigned. */
    private final AtomicLong requests = new AtomicLong();

    /**
     * Creates the admission of this instance.
     *
     * @param membership The membership of this instance.
     * @param budgets The budgets from which requests are charged.
     * @param time The source of the current time.
     */
    public Admission(Membership membership, Budgets budgets, TimeSource time) {
        this.membership = membership;
        this.budgets = budgets;
        this.time = time;
    }

    /**
     * Checks the standing of this instance, the deadline and the key of a request.
     *
     * @param request The request.
     * @return The caller; a failure if no service would accept the request.
     */
    public Either<Failure, Identity> identify(HttpServerRequest request) {
        long now = time.nanos();
        Optional<Failure> standing = standing(now);
        return standing.isPresent()
                ? Either.left(standing.get())
                : deadline(request.requestHeaders(), now).flatMap(deadline -> identify(request, deadline));
    }

    /**
     * Checks the key of a request. A request without a known key passes if any service is open.
     *
     * @param deadline The monotonic time in nanoseconds at which the caller stops waiting.
     * @return The caller; a failure if no service would accept the request.
     */
    private Either<Failure, Identity> identify(HttpServerRequest request, long deadline) {
        Configuration configuration = membership.configuration();
        Optional<String> key = Keys.sha256(request);
        Identity identity = new Identity(key, key.flatMap(configuration::teamOfKey), deadline);
        boolean mayUseAnyService =
                identity.team().isPresent() || configuration.services().values().exists(Service::open);
        return mayUseAnyService ? Either.right(identity) : Either.left(unauthenticated());
    }

    /**
     * Checks whether a caller may use a service.
     *
     * @param identity The caller.
     * @param name The name of the service.
     * @param kind The kind that the service must have.
     * @return The admitted request, or a failure.
     */
    public Either<Failure, Call> authorize(Identity identity, ServiceName name, Service.Kind kind) {
        Optional<Service> service =
                membership.configuration().services().get(name).toJavaOptional();
        boolean open = service.map(Service::open).orElse(false);
        if (identity.team().isEmpty() && !open) {
            return Either.left(unauthenticated());
        }
        if (service.isEmpty()) {
            return Either.left(notRun(Kind.NOT_FOUND, STEP_SERVICE, "no such service: " + name));
        }
        if (service.get().kind() != kind) {
            return Either.left(notRun(Kind.FORBIDDEN, STEP_SERVICE, "the service is of another kind: " + name));
        }
        Team team = identity.team().orElse(ANONYMOUS);
        Optional<String> key = identity.team().isPresent() ? identity.key() : Optional.empty();
        return Either.right(new Call(nextId(), team, key, service.get(), identity.deadline()));
    }

    /**
     * Charges a request to the budget of its team. Requests without a key are charged to no team.
     *
     * @param call The request.
     * @return The same request, or the failure of the budget.
     */
    public Mono<Either<Failure, Call>> charge(Call call) {
        if (call.key().isEmpty()) {
            return Mono.just(Either.right(call));
        }
        String budget = Budgets.ofTeam(call.team().id().value());
        return budgets.take(budget, 1, call.deadline()).map(result -> result.map(amount -> call));
    }

    /**
     * Checks standing and key again, right before a request is sent to a target. Either may have been lost while the
     * request waited.
     *
     * @param call The request.
     * @return Why the request must not be sent; empty if it may be.
     */
    public Optional<Failure> recheck(Call call) {
        Optional<Failure> standing = standing(time.nanos());
        return standing.isPresent() ? standing : authorizationFailure(call, membership.configuration());
    }

    /**
     * Checks whether a request is still authorized.
     *
     * @param call The request.
     * @param configuration The configuration in force.
     * @return A failure if the key was withdrawn or given to another team, or if a request without a key uses a service
     *     that is not open any more; otherwise empty.
     */
    public static Optional<Failure> authorizationFailure(Call call, Configuration configuration) {
        boolean allowed = call.key()
                .map(key -> configuration
                        .teamOfKey(key)
                        .filter(team -> team.id().equals(call.team().id()))
                        .isPresent())
                .orElseGet(() ->
                        configuration.services().get(call.service().name()).exists(Service::open));
        return allowed ? Optional.empty() : Optional.of(unauthenticated());
    }

    /**
     * Returns the time at which a caller stops waiting.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The monotonic time in nanoseconds; a failure if the header is not a number in the allowed range.
     */
    private static Either<Failure, Long> deadline(HttpHeaders headers, long now) {
        String text = headers.get(DEADLINE_HEADER, Long.toString(DEFAULT_DEADLINE_MILLIS));
        try {
            long millis = Long.parseLong(text.trim());
            if (millis > 0 && millis <= MAX_DEADLINE_MILLIS) {
                return Either.right(now + TimeUnit.MILLISECONDS.toNanos(millis));
            }
        } catch (NumberFormatException exception) {
            // Not a number: refused below, like a number out of range.
        }
        String detail = DEADLINE_HEADER + " must be from 1 to " + MAX_DEADLINE_MILLIS;
        return Either.left(notRun(Kind.INVALID, "admission.deadline", detail));
    }

    /**
     * Returns a failure if this instance has no standing.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    private Optional<Failure> standing(long now) {
        return membership.standing(now).serves()
                ? Optional.empty()
                : Optional.of(notRun(Kind.NO_STANDING, STEP_STANDING, "this instance takes no new work for now"));
    }

    /** Returns a request id that no other request of any instance has. */
    private String nextId() {
        return membership.self().id() + "-" + requests.incrementAndGet();
    }

    private static Failure unauthenticated() {
        return notRun(Kind.UNAUTHENTICATED, STEP_KEY, "the key is missing, unknown or withdrawn");
    }

    private static Failure notRun(Kind kind, String step, String detail) {
        return Failure.notRun(kind, step, Failure.LOCAL, detail);
    }
}
