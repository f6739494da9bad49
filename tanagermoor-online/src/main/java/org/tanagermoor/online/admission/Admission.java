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

/** Admits requests: standing, then key, then service, then the budget of the team. */
public final class Admission {

    /** The header with the time that the caller waits, in milliseconds. */
    public static final String DEADLINE_HEADER = "x-deadline-ms";

    /** The team of requests without a key, which only open services take. */
    private static final Team ANONYMOUS = Team.of(TeamId.of("-"), 1, 1, 1);

    /** The time that a caller waits where it does not say, in milliseconds. */
    private static final long DEFAULT_DEADLINE_MILLIS = 30_000;

    /** The longest time that a caller may wait, in milliseconds. */
    private static final long MAX_DEADLINE_MILLIS = 3_600_000;

    /** The step of the standing. */
    private static final String STEP_STANDING = "admission.standing";

    /** The step of the key. */
    private static final String STEP_KEY = "admission.key";

    /** The step of the service. */
    private static final String STEP_SERVICE = "admission.service";

    /** The membership of this instance. */
    private final Membership membership;

    /** The budgets. */
    private final Budgets budgets;

    /** The source of the present time. */
    private final TimeSource time;

    /** The number of requests that were given an identity. */
    private final AtomicLong requests = new AtomicLong();

    /**
     * Creates an admission.
     *
     * @param membership The membership of this instance.
     * @param budgets The budgets.
     * @param time The source of the present time.
     */
    public Admission(Membership membership, Budgets budgets, TimeSource time) {
        this.membership = membership;
        this.budgets = budgets;
        this.time = time;
    }

    /**
     * Checks the standing of this instance and the key of a request.
     *
     * @param request The request.
     * @return Who makes the request; a failure where no service can take it.
     */
    public Either<Failure, Identity> identify(HttpServerRequest request) {
        long now = time.nanos();
        Optional<Failure> standing = standing(now);
        return standing.isPresent()
                ? Either.left(standing.get())
                : deadline(request.requestHeaders(), now).flatMap(deadline -> identify(request, deadline));
    }

    /**
     * Checks the key of a request.
     *
     * @param request The request.
     * @param deadline The monotonic time in nanoseconds at which the caller stops to wait.
     * @return Who makes the request; a failure where no service can take it.
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
     * @param identity Who makes the request.
     * @param name The name of the service.
     * @param kind What its targets have to be.
     * @return The request, or a failure.
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
     * Takes a request from the budget of its team. Requests without a key count towards no team.
     *
     * @param call The request.
     * @return The request, or a failure.
     */
    public Mono<Either<Failure, Call>> charge(Call call) {
        if (call.key().isEmpty()) {
            return Mono.just(Either.right(call));
        }
        String budget = Budgets.ofTeam(call.team().id().value());
        return budgets.take(budget, 1, call.deadline()).map(result -> result.map(amount -> call));
    }

    /**
     * Checks standing and key again, right before a request goes out.
     *
     * @param call The request.
     * @return Why it may not go out, if it may not.
     */
    public Optional<Failure> recheck(Call call) {
        Optional<Failure> standing = standing(time.nanos());
        return standing.isPresent() ? standing : authorizationFailure(call, membership.configuration());
    }

    /**
     * Returns whether a request lost its right to run.
     *
     * @param call The request.
     * @param configuration The configuration in force.
     * @return The failure, if the key was withdrawn, or the service is not open any more.
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
     * Returns the time at which a caller stops to wait.
     *
     * @param headers The headers of the request.
     * @param now The present monotonic time in nanoseconds.
     * @return The monotonic time in nanoseconds, or a failure.
     */
    private static Either<Failure, Long> deadline(HttpHeaders headers, long now) {
        String text = headers.get(DEADLINE_HEADER, Long.toString(DEFAULT_DEADLINE_MILLIS));
        try {
            long millis = Long.parseLong(text.trim());
            if (millis > 0 && millis <= MAX_DEADLINE_MILLIS) {
                return Either.right(now + TimeUnit.MILLISECONDS.toNanos(millis));
            }
        } catch (NumberFormatException exception) {
            // Refused below.
        }
        String detail = DEADLINE_HEADER + " must be from 1 to " + MAX_DEADLINE_MILLIS;
        return Either.left(notRun(Kind.INVALID, "admission.deadline", detail));
    }

    /**
     * Returns the failure of an instance without standing.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return The failure, if this instance has no standing.
     */
    private Optional<Failure> standing(long now) {
        return membership.standing(now).serves()
                ? Optional.empty()
                : Optional.of(notRun(Kind.NO_STANDING, STEP_STANDING, "this instance takes no new work for now"));
    }

    /**
     * Returns an identity for a request.
     *
     * @return An identity that no other request of any instance has.
     */
    private String nextId() {
        return membership.self().id() + "-" + requests.incrementAndGet();
    }

    /**
     * Returns the failure of a request without a key that is known.
     *
     * @return The failure.
     */
    private static Failure unauthenticated() {
        return notRun(Kind.UNAUTHENTICATED, STEP_KEY, "the key is missing, unknown or withdrawn");
    }

    /**
     * Returns a failure of a request that was not run.
     *
     * @param kind The kind.
     * @param step The step.
     * @param detail A sentence for people.
     * @return The failure.
     */
    private static Failure notRun(Kind kind, String step, String detail) {
        return Failure.notRun(kind, step, Failure.LOCAL, detail);
    }
}
