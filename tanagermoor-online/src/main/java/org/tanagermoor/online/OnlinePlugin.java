package org.tanagermoor.online;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.budget.Budgets;
import org.tanagermoor.http.HttpEndpoints;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.plugin.Plugin;
import org.tanagermoor.kernel.setting.Setting;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.online.admission.ActiveCalls;
import org.tanagermoor.online.admission.Admission;
import org.tanagermoor.online.attempt.Attempts;
import org.tanagermoor.online.endpoint.DirectoryEndpoint;
import org.tanagermoor.online.endpoint.RequestEndpoint;
import org.tanagermoor.online.idempotency.IdempotencyGuard;
import org.tanagermoor.online.stop.PlannedStop;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.target.client.TargetClient;
import org.tanagermoor.target.lease.Targets;

/** Serves the online requests of callers, and takes the instance out of service at a planned stop. */
public final class OnlinePlugin implements Plugin {

    /** The name by which other plug-ins require this one. */
    public static final String NAME = "online";

    /** The time for which callers may use a directory that they fetched. */
    public static final Setting<Duration> DIRECTORY_TTL = Setting.ofMillis(
            "directory-ttl-millis", "the time for which callers may keep the directory", "2000", 0, 60_000);

    /** The maximum size of a request body in bytes. */
    public static final Setting<Long> BODY_LIMIT =
            Setting.ofNumber("body-limit-bytes", "the most bytes of a request's body", "1048576", 1, 1 << 28);

    /** The maximum silence of a model engine within an answer; after it the attempt fails. */
    public static final Setting<Duration> MAX_SILENCE = Setting.ofMillis(
            "target-silence-millis", "the longest silence of a model engine within an answer", "5000", 1, 600_000);

    /** The maximum time for which a request waits for a permit, the grant of a place on a target. */
    public static final Setting<Duration> MAX_QUEUE_WAIT = Setting.ofMillis(
            "queue-wait-millis",
            "the longest time for which an online request waits for a permit of a target, if its deadline allows it",
            "5000",
            1,
            3_600_000);

    /** The maximum time for running requests to finish at a planned stop. */
    public static final Setting<Duration> FINISH_TIMEOUT = Setting.ofMillis(
            "finish-timeout-millis",
            "the longest time for finishing requests at a planned stop",
            "30000",
            0,
            3_600_000);

    /** {@code null} before the start. */
    @Nullable
    private PlannedStop plannedStop;

    /** {@code null} before the start. */
    @Nullable
    private ActiveCalls active;

    /** {@inheritDoc} */
    @Override
    public String name() {
        return NAME;
    }

    /** {@inheritDoc} */
    @Override
    public Set<String> requires() {
        return Set.of("http", "platform", "membership", "budget", "target");
    }

    /** {@inheritDoc} */
    @Override
    public List<Setting<?>> settings() {
        return List.of(DIRECTORY_TTL, BODY_LIMIT, MAX_SILENCE, MAX_QUEUE_WAIT, FINISH_TIMEOUT);
    }

    /** {@inheritDoc} */
    @Override
    public void start(Context context) {
        Membership membership = context.service(Membership.class);
        EventLog events = context.events();
        TimeSource time = context.time();
        Duration timeToLive = context.settings().value(DIRECTORY_TTL);
        Admission admission = new Admission(membership, context.service(Budgets.class), time);
        ActiveCalls activeCalls = new ActiveCalls(events);
        active = activeCalls;
        plannedStop = new PlannedStop(
                membership,
                activeCalls,
                events,
                time,
                timeToLive,
                context.settings().value(FINISH_TIMEOUT));
        membership.onAdopted(activeCalls::onConfigurationAdopted);
        HttpEndpoints endpoints = context.service(HttpEndpoints.class);
        new DirectoryEndpoint(membership, admission, timeToLive).register(endpoints);
        requestEndpoint(context, admission, activeCalls).register(endpoints);
    }

    /** {@inheritDoc} */
    @Override
    public void drain() {
        if (plannedStop != null) {
            plannedStop.run();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void stop() {
        if (active != null) {
            active.close();
        }
    }

    private static RequestEndpoint requestEndpoint(Context context, Admission admission, ActiveCalls activeCalls) {
        EventLog events = context.events();
        TimeSource time = context.time();
        OnlineMetrics metrics = OnlineMetrics.of(context.metrics());
        Attempts attempts = new Attempts(
                context.service(Targets.class),
                context.service(TargetClient.class),
                admission,
                metrics,
                events,
                time,
                new Attempts.Limits(
                        context.settings().value(MAX_SILENCE),
                        context.settings().value(MAX_QUEUE_WAIT)));
        IdempotencyGuard guard = new IdempotencyGuard(context.service(TableService.class), events, time);
        int bodyLimit = context.settings().value(BODY_LIMIT).intValue();
        return new RequestEndpoint(admission, activeCalls, attempts, guard, metrics, events, time, bodyLimit);
    }
}
