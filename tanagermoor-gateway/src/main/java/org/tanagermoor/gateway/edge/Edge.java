package org.tanagermoor.gateway.edge;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.fleet.CallerLimits;
import org.tanagermoor.gateway.fleet.FleetConfiguration;
import org.tanagermoor.gateway.fleet.FleetTeam;
import org.tanagermoor.gateway.fleet.Route;
import org.tanagermoor.gateway.fleet.RouteKind;
import org.tanagermoor.gateway.job.JobAnswer;
import org.tanagermoor.gateway.job.Jobs;
import org.tanagermoor.gateway.member.Instance;
import org.tanagermoor.gateway.member.Liveness;
import org.tanagermoor.gateway.proto.JobItem;
import org.tanagermoor.kernel.setting.Address;

/** Listens for callers and answers them. Confined to the event loop. */
public final class Edge {

    /** How long callers may keep an answer of the directory, in seconds; some keep it three times as long. */
    private static final int DIRECTORY_TTL_SECONDS = 2;

    /** The fewest instances of the caller's failure domain for which the others are left out. */
    private static final int MIN_DOMAIN_INSTANCES = 2;

    /** The most instances that the directory names. */
    private static final int MAX_DIRECTORY_INSTANCES = 64;

    /** The time after which a caller may come back when no configuration is known, in milliseconds. */
    private static final long UNCONFIGURED_RETRY_MILLIS = 300;

    /** The time after which a caller of an instance that leaves may ask another one, in milliseconds. */
    private static final long LEAVING_RETRY_MILLIS = 50;

    /** The most bytes of a request line. */
    private static final int MAX_REQUEST_LINE_BYTES = 16_384;

    /** The most bytes of a chunk of a body. */
    private static final int MAX_CHUNK_BYTES = 65_536;

    /** The factor between what is read and the limit of headers, so that the configuration decides. */
    private static final int HEADER_PARSER_FACTOR = 2;

    /** The connections that wait to be accepted; as many as callers may open at once after a restart. */
    private static final int ACCEPT_BACKLOG = 1_024;

    /** What calls need. */
    private final CallContext context;

    /** Which instances run. */
    private final Liveness liveness;

    /** The batch jobs. */
    private final Jobs jobs;

    /** The calls that are being answered; read by the thread of a planned stop. */
    private final AtomicInteger active = new AtomicInteger();

    /** Whether no more requests are taken. */
    private boolean closed;

    /** The channels that listen. */
    private final List<Channel> listeners = new ArrayList<>();

    /** Creates an edge that does not listen. */
    private Edge(CallContext context, Liveness liveness, Jobs jobs) {
        this.context = context;
        this.liveness = liveness;
        this.jobs = jobs;
    }

    /** Returns an edge that does not listen. */
    public static Edge of(CallContext context, Liveness liveness, Jobs jobs) {
        return new Edge(context, liveness, jobs);
    }

    /** Listens on an address. */
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

    /** Stops to listen, and refuses what comes on open connections. */
    public void close() {
        closed = true;
        listeners.forEach(Channel::close);
    }

    /** Returns the requests that are being answered. Safe for use by any thread. */
    public int activeCalls() {
        return active.get();
    }

    /** Sets up a connection. */
    private void initialize(Channel channel) {
        CallerLimits limits =
                context.fleet().configuration().map(FleetConfiguration::limits).orElse(CallerLimits.DEFAULT);
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(
                                MAX_REQUEST_LINE_BYTES,
                                limits.maxHeaderBytes() * HEADER_PARSER_FACTOR,
                                MAX_CHUNK_BYTES),
                        new HttpObjectAggregator(limits.maxBodyBytes()),
                        new IdleStateHandler(0, 0, limits.idleTimeoutMillis(), TimeUnit.MILLISECONDS),
                        new CallerConnection(this::handle, liveness::stopping, active, context.events()));
    }

    /** Begins to answer a request. */
    private Call handle(FullHttpRequest request, Responder responder) {
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
                withTeam(read.head(), responder, team -> jobs.results(read, team, answer -> write(responder, answer)));
            case CallerRequest.ReadItem read ->
                withTeam(read.head(), responder, team -> jobs.item(read, team, answer -> write(responder, answer)));
            case CallerRequest.EndJob end ->
                withTeam(end.head(), responder, team -> jobs.end(end, team, answer -> write(responder, answer)));
        };
    }

    /** Returns whether this instance takes requests. */
    private boolean ready() {
        return !liveness.stopping() && context.fleet().configuration().isPresent();
    }

    /** Names the instances that serve, those of the caller's failure domain alone if there are enough. */
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

    /** Answers a request for a route. */
    private Call routed(CallHead head, FullHttpRequest request, Responder responder) {
        Optional<FleetConfiguration> adopted = context.fleet().configuration();
        if (closed) {
            return refuse(responder, head.id(), new Refusal(Refusal.Kind.UNAVAILABLE, LEAVING_RETRY_MILLIS, "leaving"));
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
            return refuse(responder, head.id(), Refusal.of(Refusal.Kind.UNAUTHENTICATED, "the key is not known"));
        }
        String name = team.map(FleetTeam::name).orElse("");
        if (route.get().kind() == RouteKind.BATCH) {
            return submit(head, request, route.get(), name, responder);
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

    /** Takes a job in. */
    private Call submit(CallHead head, FullHttpRequest request, Route route, String team, Responder responder) {
        Either<String, List<JobItem>> items = context.protocol().items(request.content());
        if (items.isLeft() || head.id().isEmpty()) {
            String detail = items.isLeft() ? items.getLeft() : "the job has no identity";
            return refuse(responder, head.id(), Refusal.of(Refusal.Kind.MALFORMED, detail));
        }
        jobs.submit(head, route, team, items.get(), answer -> write(responder, answer));
        return Call.NO_OP;
    }

    /** Calls an action with the team of a request, or refuses it. */
    private Call withTeam(CallHead head, Responder responder, java.util.function.Consumer<String> action) {
        Optional<FleetConfiguration> adopted = context.fleet().configuration();
        if (adopted.isEmpty()) {
            return refuse(responder, head.id(), unconfigured());
        }
        Optional<FleetTeam> team = team(adopted.get(), head);
        if (team.isEmpty() && adopted.get().hasTeams()) {
            return refuse(responder, head.id(), Refusal.of(Refusal.Kind.UNAUTHENTICATED, "the key is not known"));
        }
        action.accept(team.map(FleetTeam::name).orElse(""));
        return Call.NO_OP;
    }

    /** Finds the team whose key a request carries. */
    private static Optional<FleetTeam> team(FleetConfiguration configuration, CallHead head) {
        return Optional.ofNullable(head.key()).flatMap(configuration::teamOfKey);
    }

    /** Writes the answer to a request about a job. */
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

    /** Refuses a request. */
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

    /** Returns the refusal while no configuration is known. */
    private static Refusal unconfigured() {
        return new Refusal(Refusal.Kind.UNAVAILABLE, UNCONFIGURED_RETRY_MILLIS, "no configuration is known yet");
    }
}
