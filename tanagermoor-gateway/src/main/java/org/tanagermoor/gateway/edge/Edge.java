package org.tanagermoor.gateway.edge;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.timeout.IdleStateHandler;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.fleet.CallerLimits;
import org.tanagermoor.gateway.fleet.FleetConfiguration;
import org.tanagermoor.gateway.fleet.FleetTeam;
import org.tanagermoor.gateway.fleet.Route;
import org.tanagermoor.gateway.fleet.RouteKind;
import org.tanagermoor.gateway.job.JobAnswer;
import org.tanagermoor.gateway.job.JobCheck;
import org.tanagermoor.gateway.job.Jobs;
import org.tanagermoor.gateway.member.Instance;
import org.tanagermoor.gateway.member.Liveness;
import org.tanagermoor.gateway.proto.JobItem;
import org.tanagermoor.kernel.setting.Address;

/**
 * The entry point for callers: accepts their connections, checks their requests, and answers them or passes them on.
 * Confined to the event loop.
 */
public final class Edge {

    /**
     * How long callers may keep an answer of the directory, in seconds. An instance that stops refuses long requests of
     * those who keep an older answer.
     */
    private static final int DIRECTORY_TTL_SECONDS = 1;

    /** The multiple of that time for which some callers keep an answer. */
    private static final int MAX_TTL_FACTOR = 3;

    /** The time after which no caller uses an address any more that the directory has ceased to name. */
    public static final Duration ADDRESS_LIFETIME = Duration.ofSeconds((long) DIRECTORY_TTL_SECONDS * MAX_TTL_FACTOR);

    /** The minimum number of instances in the caller's failure domain for which the directory leaves out the others. */
    private static final int MIN_DOMAIN_INSTANCES = 2;

    /** The maximum number of instances in an answer of the directory. */
    private static final int MAX_DIRECTORY_INSTANCES = 64;

    /** The time after which a caller may retry when no configuration is known, in milliseconds. */
    private static final long UNCONFIGURED_RETRY_MILLIS = 300;

    /** The refusal of a request that came too late during a planned stop. */
    private static final Refusal NOT_RUN = Refusal.ofLeaving("no further requests are accepted");

    /** The answer to a change whose outcome is unknown at the end of the instance. */
    private static final Refusal MAY_HAVE_RUN =
            Refusal.of(Refusal.Kind.TIMEOUT, "the instance ended before the control store answered");

    private static final int MAX_REQUEST_LINE_BYTES = 16_384;

    private static final int MAX_CHUNK_BYTES = 65_536;

    /**
     * The parser accepts headers up to this multiple of the configured limit, so that the configuration decides which
     * requests are refused.
     */
    private static final int HEADER_PARSER_FACTOR = 2;

    /** The maximum number of events that arrive together and are written to the caller in one system call. */
    private static final int MAX_CONSOLIDATED_FLUSHES = 64;

    /**
     * The maximum number of connections that wait to be accepted; as many as callers may open at once after a restart.
     */
    private static final int ACCEPT_BACKLOG = 1_024;

    private final CallContext context;

    private final Liveness liveness;

    private final Jobs jobs;

    /** The calls that are being answered. */
    private final CallTracker active = CallTracker.of();

    /** The end of the time for which this instance serves. */
    private ServingEnd servingEnd = new ServingEnd.Open();

    /**
     * Whether all new requests are refused because the instance is leaving; read by the thread that performs a planned
     * stop.
     */
    private volatile boolean closed;

    private final List<Channel> listeners = new ArrayList<>();

    private Edge(CallContext context, Liveness liveness, Jobs jobs) {
        this.context = context;
        this.liveness = liveness;
        this.jobs = jobs;
    }

    /** Returns an edge that does not accept connections yet. */
    public static Edge of(CallContext context, Liveness liveness, Jobs jobs) {
        return new Edge(context, liveness, jobs);
    }

    /**
     * Starts to accept connections on an address.
     *
     * @param group The event loop.
     * @param address The address, which must be free.
     */
    public void listen(EventLoopGroup group, Address address) {
        listeners.add(new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    /** {@inheritDoc} */
                    @Override
                    protected void initChannel(Channel channel) {
                        initialize(channel);
                    }
                })
                .bind(address.toSocketAddress())
                .syncUninterruptibly()
                .channel());
    }

    /**
     * Begins a planned stop: from now on only requests that are certain to be answered in time are accepted.
     *
     * @param endNanos The monotonic time in nanoseconds by which all answers must have been sent.
     */
    public void endBy(long endNanos) {
        servingEnd = new ServingEnd.Planned(endNanos);
        active.endBy(endNanos);
    }

    /** Stops accepting connections, and refuses further requests on open ones. */
    public void close() {
        closed = true;
        listeners.forEach(Channel::close);
    }

    /**
     * Returns whether no further requests are accepted, and the answers to all others are written to their connections
     * completely. Safe for use by any thread.
     */
    public boolean drained() {
        return closed && active.count() == 0;
    }

    private void initialize(Channel channel) {
        CallerLimits limits =
                context.fleet().configuration().map(FleetConfiguration::limits).orElse(CallerLimits.DEFAULT);
        channel.pipeline()
                .addLast(
                        new FlushConsolidationHandler(MAX_CONSOLIDATED_FLUSHES, true),
                        new HttpServerCodec(
                                MAX_REQUEST_LINE_BYTES,
                                limits.maxHeaderBytes() * HEADER_PARSER_FACTOR,
                                MAX_CHUNK_BYTES),
                        new RequestAggregator(limits.maxBodyBytes()),
                        new IdleStateHandler(0, 0, limits.idleTimeoutMillis(), TimeUnit.MILLISECONDS),
                        new CallerConnection(this::handle, liveness::stopping, active, context.events()));
    }

    private Call handle(FullHttpRequest request, Responder responder) {
        if (RequestAggregator.tooLong(request)) {
            return refuse(responder, "", Refusal.of(Refusal.Kind.TOO_LARGE, "the body is too long"));
        }
        if (request.decoderResult().isFailure()) {
            return refuse(responder, "", Refusal.of(Refusal.Kind.MALFORMED, "the request is malformed"));
        }
        return switch (context.protocol().decode(request)) {
            case CallerRequest.Readiness readiness -> {
                responder.full(context.protocol().readiness(ready()));
                yield Call.NO_OP;
            }
            case CallerRequest.Directory directory -> directory(directory, responder);
            case CallerRequest.Malformed malformed ->
                refuse(responder, "", Refusal.of(Refusal.Kind.MALFORMED, malformed.detail()));
            case CallerRequest.Routed routed -> routed(routed.head(), request, responder);
            case CallerRequest.ReadResults read ->
                withTeam(read.head(), responder, NOT_RUN, (team, answer) -> jobs.results(read, team, answer));
            case CallerRequest.ReadItem read ->
                withTeam(read.head(), responder, NOT_RUN, (team, answer) -> jobs.item(read, team, answer));
            case CallerRequest.EndJob end ->
                withTeam(end.head(), responder, MAY_HAVE_RUN, (team, answer) -> jobs.end(end, team, answer));
        };
    }

    /** Returns whether this instance accepts requests: it is not leaving and knows a configuration. */
    private boolean ready() {
        return !liveness.stopping() && context.fleet().configuration().isPresent();
    }

    /** Answers with the instances that serve, or only those in the caller's failure domain if there are enough. */
    private Call directory(CallerRequest.Directory request, Responder responder) {
        List<Instance> serving = liveness.serving(context.time().nanos());
        List<Instance> sameDomain = serving.stream()
                .filter(instance -> instance.domain().equals(request.domain()))
                .toList();
        List<Address> addresses = (sameDomain.size() >= MIN_DOMAIN_INSTANCES ? sameDomain : serving)
                .stream()
                        .sorted(Comparator.comparing(instance -> instance.id().name()))
                        .map(Instance::caller)
                        .distinct()
                        .limit(MAX_DIRECTORY_INSTANCES)
                        .toList();
        responder.full(context.protocol().directory(addresses, DIRECTORY_TTL_SECONDS));
        return Call.NO_OP;
    }

    /** Answers a request that a route serves. */
    private Call routed(CallHead head, FullHttpRequest request, Responder responder) {
        Optional<FleetConfiguration> adopted = context.fleet().configuration();
        if (closed) {
            return refuse(responder, head.id(), NOT_RUN);
        }
        if (adopted.isEmpty()) {
            return refuse(responder, head.id(), unconfigured());
        }
        FleetConfiguration configuration = adopted.get();
        Optional<Route> route = configuration.route(head.host(), head.path());
        if (route.isEmpty()) {
            return refuse(responder, head.id(), Refusal.of(Refusal.Kind.NOT_FOUND, "no such route"));
        }
        Optional<FleetTeam> team = team(configuration, head);
        if (team.isEmpty() && configuration.hasTeams() && !route.get().anonymousAllowed()) {
            return refuse(responder, head.id(), Refusal.of(Refusal.Kind.UNAUTHENTICATED, "the key is unknown"));
        }
        String name = team.map(FleetTeam::name).orElse("");
        if (route.get().kind() == RouteKind.BATCH) {
            return submit(head, request, route.get(), name, responder);
        }
        long limitMillis = route.get().limitMillis(head.deadlineMillis());
        if (!servingEnd.admits(
                TimeUnit.MILLISECONDS.toNanos(limitMillis), context.time().nanos())) {
            return refuse(
                    responder,
                    head.id(),
                    Refusal.ofLeaving("the answer may take " + limitMillis + " ms, which is too long"));
        }
        if (head.id().isEmpty()) {
            return refuse(responder, "", Refusal.of(Refusal.Kind.MALFORMED, "the request has no identity"));
        }
        String service = route.get().service(ThreadLocalRandom.current().nextDouble());
        OnlineCall call =
                new OnlineCall(context, head, request.content().retain(), route.get(), service, name, responder);
        call.start();
        return call;
    }

    /** Submits a job. */
    private Call submit(CallHead head, FullHttpRequest request, Route route, String team, Responder responder) {
        Either<String, List<JobItem>> items = context.protocol()
                .items(request.content())
                .flatMap(read -> JobCheck.problem(head.id(), read)
                        .<Either<String, List<JobItem>>>map(Either::left)
                        .orElseGet(() -> Either.right(read)));
        if (items.isLeft()) {
            return refuse(responder, head.id(), Refusal.of(Refusal.Kind.MALFORMED, items.getLeft()));
        }
        JobCall call = pending(responder, MAY_HAVE_RUN);
        jobs.submit(head, route, team, items.get(), answer -> write(responder, answer));
        return call;
    }

    /** Returns the call of a request about a job, whose answer may come only when the instance has ended. */
    private JobCall pending(Responder responder, Refusal unfinished) {
        JobCall call = new JobCall(context, responder, unfinished);
        if (servingEnd instanceof ServingEnd.Planned planned) {
            call.endBy(planned.atNanos());
        }
        return call;
    }

    /**
     * Runs an action with the team of a request about a job, or refuses the request.
     *
     * @param unfinished The answer if the instance ends before the actual one is known.
     * @param action Receives the name of the team and the receiver of the answer.
     */
    private Call withTeam(
            CallHead head, Responder responder, Refusal unfinished, BiConsumer<String, Consumer<JobAnswer>> action) {
        Optional<FleetConfiguration> adopted = context.fleet().configuration();
        if (closed) {
            return refuse(responder, head.id(), NOT_RUN);
        }
        if (adopted.isEmpty()) {
            return refuse(responder, head.id(), unconfigured());
        }
        Optional<FleetTeam> team = team(adopted.get(), head);
        if (team.isEmpty() && adopted.get().hasTeams()) {
            return refuse(responder, head.id(), Refusal.of(Refusal.Kind.UNAUTHENTICATED, "the key is unknown"));
        }
        JobCall call = pending(responder, unfinished);
        action.accept(team.map(FleetTeam::name).orElse(""), answer -> write(responder, answer));
        return call;
    }

    /** Returns the team whose key the request has. */
    private static Optional<FleetTeam> team(FleetConfiguration configuration, CallHead head) {
        return Optional.ofNullable(head.key()).flatMap(configuration::teamOfKey);
    }

    private void write(Responder responder, JobAnswer answer) {
        responder.full(
                switch (answer) {
                    case JobAnswer.Accepted accepted -> context.protocol().accepted();
                    case JobAnswer.Results results -> context.protocol().results(results.page());
                    case JobAnswer.Item item -> context.protocol().item(item.body());
                    case JobAnswer.Ended ended -> context.protocol().ended();
                    case JobAnswer.Refused refused -> context.protocol().refusal(refused.refusal());
                });
    }

    /** Answers with a refusal, and records it. */
    private Call refuse(Responder responder, String id, Refusal refusal) {
        context.events()
                .record(
                        GatewayEvent.REQUEST_REFUSED,
                        "request",
                        id,
                        "kind",
                        refusal.kind(),
                        "detail",
                        refusal.detail(),
                        "version",
                        context.fleet()
                                .configuration()
                                .map(FleetConfiguration::version)
                                .orElse(0L));
        context.metrics().refused(refusal.kind());
        responder.full(context.protocol().refusal(refusal));
        return Call.NO_OP;
    }

    /** Returns the refusal to send while no configuration is known. */
    private static Refusal unconfigured() {
        return new Refusal(Refusal.Kind.UNAVAILABLE, UNCONFIGURED_RETRY_MILLIS, "no configuration is known yet");
    }
}
