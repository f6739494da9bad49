package org.tanagermoor.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.HashMap;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.gateway.dispatch.DispatchClient;
import org.tanagermoor.gateway.dispatch.DispatchServer;
import org.tanagermoor.gateway.dispatch.LoadMonitor;
import org.tanagermoor.gateway.dispatch.ShareTable;
import org.tanagermoor.gateway.dispatch.TeamRates;
import org.tanagermoor.gateway.duty.Duties;
import org.tanagermoor.gateway.edge.CallContext;
import org.tanagermoor.gateway.edge.CallerDeadlines;
import org.tanagermoor.gateway.edge.CallerProtocol;
import org.tanagermoor.gateway.edge.Edge;
import org.tanagermoor.gateway.fleet.FleetCodec;
import org.tanagermoor.gateway.fleet.FleetService;
import org.tanagermoor.gateway.follow.ChangeFeed;
import org.tanagermoor.gateway.follow.FollowedTable;
import org.tanagermoor.gateway.follow.TableFollower;
import org.tanagermoor.gateway.forward.SkippedAnswerLog;
import org.tanagermoor.gateway.forward.TargetConnections;
import org.tanagermoor.gateway.forward.TargetProtocol;
import org.tanagermoor.gateway.job.ItemPace;
import org.tanagermoor.gateway.job.JobContext;
import org.tanagermoor.gateway.job.JobStore;
import org.tanagermoor.gateway.job.Jobs;
import org.tanagermoor.gateway.member.Gossip;
import org.tanagermoor.gateway.member.Instance;
import org.tanagermoor.gateway.member.InstanceTable;
import org.tanagermoor.gateway.member.Liveness;
import org.tanagermoor.gateway.quarantine.PartQuarantine;
import org.tanagermoor.gateway.rollout.RolloutDispatch;
import org.tanagermoor.gateway.rollout.RolloutTable;
import org.tanagermoor.gateway.rollout.Rollouts;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.quarantine.Quarantine;
import org.tanagermoor.policy.rollout.RolloutLimits;
import org.tanagermoor.store.object.ObjectStore;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.wire.link.PeerLink;

/** Creates and connects the components of one instance. Confined to the event loop once it is started. */
final class Gateway {

    /** The interval of periodic checks in milliseconds. */
    private static final long TICK_INTERVAL_MILLIS = 250;

    /** The interval at which the age of the loan of this instance's share of the rates is checked, in milliseconds. */
    private static final long LOAN_INTERVAL_MILLIS = 100;

    /** The interval at which all places in use are reported to the dispatcher, in milliseconds. */
    private static final long REPORT_INTERVAL_MILLIS = 2_000;

    /**
     * The minimum interval between two reads of the job table's changes in milliseconds: readers of results poll twice
     * a second.
     */
    private static final long MIN_JOB_READ_INTERVAL_MILLIS = 200;

    /** The maximum of this interval, in a large fleet; for a reader whose copy is older, the row itself is read. */
    private static final long MAX_JOB_READ_INTERVAL_MILLIS = 1_200;

    /**
     * The interval grows by one step for each of this many instances, so that the calls of all instances together grow
     * more slowly than the fleet.
     */
    private static final int INSTANCES_PER_INTERVAL_STEP = 12;

    /** How long the last answer about the job table counts as current, in nanoseconds. */
    private static final long JOB_STATE_FRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

    /** The time that the log gets to be written before the process ends, in nanoseconds. */
    private static final long LOG_WRITE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final EventLoop loop;

    private final EventLog events;

    private final TimeSource time;

    private final Duties duties;

    private final Liveness liveness;

    private final FleetState fleet;

    private final TableFollower operatorTable;

    private final TableFollower targetTable;

    private final TableFollower jobTable;

    private final TeamRates rates = TeamRates.of();

    /** The parts of prompts that crash targets and are held back. */
    private final PartQuarantine quarantine;

    /** Assigns places to requests of this and other instances. */
    private final DispatchServer dispatchServer;

    /** Shows operators what the load does to targets and requests. */
    private final LoadMonitor loadMonitor;

    /** Claims the shares of the rates in the control store while some are missing. */
    private final ShareTable shareTable;

    /** Asks the dispatcher for places. */
    private final DispatchClient dispatchClient;

    private final TargetConnections connections;

    private final Jobs jobs;

    private final Edge edge;

    /** Exchanges heartbeats with other instances. */
    private final Gossip gossip;

    /** The table in the control store through which instances find each other. */
    private final InstanceTable instances;

    /** Moves the traffic of services to other versions; {@code null} if roll-outs are off. */
    @Nullable
    private final Rollouts rollouts;

    private Gateway(Context context, EventLoop loop) {
        this.loop = loop;
        events = context.events();
        time = context.time();
        GatewayMetrics metrics = GatewayMetrics.of(context.metrics());
        duties = Duties.of(loop, events, metrics, time, Gateway::endProcess);
        PeerLink link = context.service(PeerLink.class);
        Instance self = self(context, link);
        String domain = self.domain();
        liveness = Liveness.of(self);
        FleetCodec codec = context.service(FleetCodec.class);
        GatewayFeatures features = context.service(GatewayFeatures.class);
        Optional<RolloutLimits> limits = features.rollouts();
        fleet = FleetState.of(codec, events, this::fleetChanged, limits.isPresent());
        ChangeFeed feed = context.service(ChangeFeed.class);
        operatorTable = follow(feed, codec.operatorTable(), () -> 0, fleet::operatorChanged);
        targetTable = follow(feed, codec.targetTable(), () -> 0, this::targetsChanged);
        TableService tables = context.service(TableService.class);
        Quarantine parts = Quarantine.of();
        quarantine = PartQuarantine.of(parts, tables, loop, duties, events, time);
        dispatchServer = dispatchServer(link, parts, features.fairSharing());
        loadMonitor = LoadMonitor.of(dispatchServer.dispatcher(), events, context.metrics());
        shareTable = ShareTable.of(tables, duties, dispatchServer, self.id().name(), events, time);
        dispatchClient = DispatchClient.of(loop, link, liveness, dispatchServer, events, time);
        connections = TargetConnections.of(loop, context.service(TargetProtocol.class), time, targetObserver());
        jobs = Jobs.of(jobContext(context, tables, metrics, domain), liveness, this::jobStateFresh);
        jobTable = follow(feed, JobStore.JOBS_TABLE, this::jobReadInterval, jobs::rowsChanged);
        CallerProtocol protocol = context.service(CallerProtocol.class);
        edge = Edge.of(
                new CallContext(
                        loop,
                        fleet,
                        dispatchClient,
                        connections,
                        protocol,
                        events,
                        metrics,
                        time,
                        CallerDeadlines.of(),
                        quarantine,
                        domain),
                liveness,
                jobs);
        rollouts = limits.isPresent() ? rollouts(context, limits.get()) : null;
        gossip = Gossip.of(
                loop,
                link,
                liveness,
                relayedTables(),
                context.settings().value(GatewayPlugin.SEEDS),
                quarantine,
                events,
                time);
        instances = InstanceTable.of(tables, loop, duties, liveness, events, time, gossip::probe);
    }

    static Gateway of(Context context, EventLoop loop) {
        return new Gateway(context, loop);
    }

    /** Returns the server of the decisions on places. Call it after the fields that it reads are set. */
    private DispatchServer dispatchServer(PeerLink link, Quarantine parts, boolean fairSharing) {
        DispatchServer server = DispatchServer.of(loop, link, liveness, time, rates, parts);
        server.dispatcher().fairSharing(fairSharing);
        return server;
    }

    /** Returns the observer of the targets. Call it after the fields that it reads are set. */
    private SkippedAnswerLog targetObserver() {
        return new SkippedAnswerLog(
                events,
                target -> loop.execute(() -> fleet.leaving(target.id(), target.startedAtMillis())),
                dispatchClient::requestLimit);
    }

    /** Returns the roll-outs. Call it after the fields that it reads are set. */
    private Rollouts rollouts(Context context, RolloutLimits limits) {
        RolloutTable table = RolloutTable.of(
                context.service(TableService.class),
                context.service(ChangeFeed.class),
                context.service(FleetCodec.class),
                loop,
                duties,
                events,
                time,
                this::rolloutsChanged);
        return Rollouts.of(
                fleet,
                table,
                RolloutDispatch.ForServer.of(dispatchServer, liveness),
                limits,
                () -> operatorTable.table().revision(),
                liveness.self().id().name(),
                events,
                context.metrics());
    }

    /** Returns the tables of which instances give newer copies to each other. */
    private List<TableFollower> relayedTables() {
        return rollouts == null
                ? List.of(operatorTable, targetTable)
                : List.of(operatorTable, targetTable, rollouts.follower());
    }

    /** Returns the context of the jobs. Call it after the fields that it reads are set. */
    private JobContext jobContext(Context context, TableService tables, GatewayMetrics metrics, String domain) {
        return new JobContext(
                loop,
                fleet,
                dispatchClient,
                connections,
                JobStore.of(tables, context.service(ObjectStore.class)),
                events,
                metrics,
                time,
                quarantine,
                domain,
                new HashMap<>(),
                ItemPace.of(),
                context.service(CallerProtocol.class)::answerBytes,
                duties,
                context.settings().value(GatewayPlugin.JOB_RETENTION),
                operatorTable.storeClock(),
                operatorTable::readAt);
    }

    /** Describes this instance by its settings. */
    private static Instance self(Context context, PeerLink link) {
        return new Instance(
                context.service(InstanceId.class),
                link.address(),
                context.settings().value(GatewayPlugin.CALLER_ADDRESS),
                context.settings().value(GatewayPlugin.FAILURE_DOMAIN),
                context.time().wallMillis(),
                context.settings().value(GatewayPlugin.PROCESSOR_SHARE));
    }

    /** Starts to follow the control store and to accept connections on the addresses. */
    void start(EventLoopGroup group, List<Address> addresses) {
        dispatchServer.localRecallHandler(jobs::recall);
        dispatchClient.recallHandler(jobs::recall);
        dispatchClient.leavingTargets(fleet::leaving);
        dispatchServer.quarantineHandler(quarantine::publish);
        dispatchServer.trialHandler(quarantine::record);
        dispatchServer.log(events);
        quarantine.start(gossip::broadcast);
        dispatchServer.leavingHandler(target -> fleet.leaving(target.getId(), target.getStartedMillis()));
        operatorTable.start();
        targetTable.start();
        jobTable.start();
        if (rollouts != null) {
            rollouts.start();
        }
        instances.start();
        gossip.start(duties);
        duties.every("checks", TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS, this::tick);
        duties.every("reports", REPORT_INTERVAL_MILLIS, REPORT_INTERVAL_MILLIS, dispatchClient::reportAll);
        duties.every("loan", LOAN_INTERVAL_MILLIS, LOAN_INTERVAL_MILLIS, dispatchClient::renewLoan);
        addresses.forEach(address -> edge.listen(group, address));
    }

    /**
     * Begins a planned stop: tells the other instances, directs callers to them, and accepts only requests that can
     * still be completed.
     *
     * @param endNanos The monotonic time in nanoseconds by which all answers must have been sent.
     */
    void leave(long endNanos) {
        events.record(GatewayEvent.LEAVING);
        liveness.stop();
        edge.endBy(endNanos);
        gossip.broadcast();
    }

    /** Releases the jobs of this instance for other instances. */
    void handOver() {
        jobs.handOver();
    }

    /** Stops accepting connections and following the control store. */
    void close() {
        operatorTable.stop();
        targetTable.stop();
        jobTable.stop();
        if (rollouts != null) {
            rollouts.stop();
        }
        edge.close();
    }

    /**
     * Accepts no further requests. Requests that run are completed; new ones on open connections are refused as not
     * run.
     */
    void closeToCallers() {
        edge.close();
    }

    /** Returns the parts of prompts that are held back, for operators. */
    PartQuarantine quarantine() {
        return quarantine;
    }

    /** Describes the roll-outs for operators; empty if there are none. Call it on the event loop. */
    String rolloutsText() {
        return rollouts == null ? "" : rollouts.text(time.nanos());
    }

    /**
     * Returns whether no request is accepted any more, all have been answered, and the jobs are handed over. Safe for
     * use by any thread.
     */
    boolean drained() {
        return edge.drained() && jobs.handedOver();
    }

    /** Ends the process at once, since an orderly stop would need what the process lacks. */
    private static void endProcess() {
        LockSupport.parkNanos(LOG_WRITE_NANOS);
        Runtime.getRuntime().halt(Duties.EXIT_EXHAUSTED);
    }

    /** Runs the periodic checks of all components, each also if that of another one fails. */
    private void tick() {
        long now = time.nanos();
        duties.run("fleet", () -> fleet.tick(now));
        duties.run("dispatch client", () -> dispatchClient.tick(now));
        duties.run("dispatch server", () -> dispatchServer.tick(now));
        duties.run("load", loadMonitor::tick);
        duties.run("rate shares", () -> shareTable.tick(now));
        duties.run(
                "quarantine",
                () -> quarantine.tick(
                        liveness.dispatcher(now).id().equals(liveness.self().id()), now));
        duties.run("jobs", () -> jobs.tick(now));
        duties.run("rollouts", () -> {
            if (rollouts != null) {
                rollouts.tick(now);
            }
        });
    }

    /** Obeys changed states of roll-outs. */
    private void rolloutsChanged() {
        if (rollouts != null) {
            rollouts.changed(time.nanos());
        }
    }

    private void targetsChanged(List<ChangeFeed.Change> rows) {
        long now = time.nanos();
        fleet.targetsChanged(rows, targetTable.recoveredAt(), now);
    }

    /** Passes a change of the configuration or the targets on to the components that depend on it. */
    private void fleetChanged() {
        long now = time.nanos();
        // The dispatcher must know of a roll-out before it knows of the targets of the new version.
        rolloutsChanged();
        dispatchServer
                .dispatcher()
                .targets(
                        fleet.usable(),
                        service -> fleet.configuration()
                                .flatMap(adopted -> adopted.service(service))
                                .map(FleetService::maxColdRequestsPerSecond)
                                .orElse(0.0),
                        now);
        dispatchClient.tick(now);
        fleet.configuration().ifPresent(adopted -> rates.teams(adopted.teams(), now));
        connections.retainOnly(fleet.targetIds());
    }

    /** Returns whether the control store confirmed recently that there is no newer state of the jobs. */
    private boolean jobStateFresh() {
        return !jobTable.storeUnavailable()
                && jobTable.table().revision() > 0
                && time.nanos() - jobTable.answeredAt() < JOB_STATE_FRESH_NANOS;
    }

    /** Returns the minimum interval between two reads of the job table's changes, in milliseconds. */
    private long jobReadInterval() {
        long steps = 1L + liveness.running(time.nanos()).size() / INSTANCES_PER_INTERVAL_STEP;
        return Math.min(MAX_JOB_READ_INTERVAL_MILLIS, MIN_JOB_READ_INTERVAL_MILLIS * steps);
    }

    private TableFollower follow(
            ChangeFeed feed,
            String table,
            LongSupplier interval,
            java.util.function.Consumer<List<ChangeFeed.Change>> listener) {
        return TableFollower.of(FollowedTable.of(table), feed, loop, duties, events, time, interval, listener);
    }
}
