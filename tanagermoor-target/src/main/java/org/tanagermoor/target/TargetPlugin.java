package org.tanagermoor.target;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.plugin.Plugin;
import org.tanagermoor.kernel.setting.Setting;
import org.tanagermoor.policy.target.Routing;
import org.tanagermoor.target.client.HttpTargetClient;
import org.tanagermoor.target.client.TargetClient;
import org.tanagermoor.target.lease.LeasedTargets;
import org.tanagermoor.target.lease.Targets;
import org.tanagermoor.target.order.EngineOrders;

/** The plug-in that leases permits of targets, sends requests to targets, and gives orders to model engines. */
public final class TargetPlugin implements Plugin {

    /** The name by which settings and other plug-ins refer to this plug-in. */
    public static final String NAME = "target";

    /** Selects how the target of a request is chosen; empty for the routing that fits the service. */
    public static final Setting<Optional<Routing>> ROUTING = new Setting<>(
            "routing",
            "how a target is chosen: by-service (prefix affinity or least loaded), random or round-robin",
            "by-service",
            TargetPlugin::routing);

    /** The leased targets, or {@code null} before the start. */
    @Nullable
    private LeasedTargets targets;

    /** The orders to model engines, or {@code null} before the start. */
    @Nullable
    private EngineOrders orders;

    /** {@inheritDoc} */
    @Override
    public String name() {
        return NAME;
    }

    /** {@inheritDoc} */
    @Override
    public Set<String> requires() {
        return Set.of("wire", "membership", "budget");
    }

    /** {@inheritDoc} */
    @Override
    public List<Setting<?>> settings() {
        return List.of(ROUTING);
    }

    /** {@inheritDoc} */
    @Override
    public void start(Context context) {
        LeasedTargets started = LeasedTargets.of(context, context.settings().value(ROUTING));
        targets = started;
        orders = EngineOrders.of(context, started::withhold);
        context.register(Targets.class, started);
        context.register(TargetClient.class, HttpTargetClient.of(context));
        context.events().record(TargetEvent.STARTED);
    }

    /** {@inheritDoc} */
    @Override
    public void stop() {
        if (orders != null) {
            orders.close();
        }
        if (targets != null) {
            targets.close();
        }
    }

    /**
     * Parses the setting {@link #ROUTING}.
     *
     * @return The routing that replaces the one of the service, empty to keep that of the service, or an error message.
     */
    private static Either<String, Optional<Routing>> routing(String text) {
        return switch (text) {
            case "by-service" -> Either.right(Optional.empty());
            case "random" -> Either.right(Optional.of(new Routing.Random()));
            case "round-robin" -> Either.right(Optional.of(new Routing.RoundRobin()));
            default -> Either.left("must be by-service, random or round-robin, but is " + text);
        };
    }
}
