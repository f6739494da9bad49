package org.tanagermoor.cli.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.Map;
import org.tanagermoor.cli.client.ToolRequest;

/** The operator commands that list, define and remove targets. */
public final class TargetCommands {

    private TargetCommands() {}

    /** Lists all targets in the configuration. */
    @Command(name = "list", description = "Lists the targets")
    public static final class Show extends OperatorRequest {

        /** {@inheritDoc} */
        @Override
        protected ToolRequest request() {
            return ToolRequest.of("GET", "/operator/targets");
        }
    }

    /** Creates or replaces a target. */
    @Command(name = "put", description = "Creates or replaces a target")
    public static final class Put extends OperatorRequest.ForChange {

        @Required
        @Arguments(title = "target", description = "The name of the target")
        String target = "";

        @Required
        @Option(name = "--service", title = "name", description = "The service")
        String service = "";

        @Required
        @Option(name = "--domain", title = "name", description = "The failure domain in which it runs")
        String domain = "";

        @Required
        @Option(name = "--address", title = "ip:port", description = "The address")
        String address = "";

        /** The number of concurrent requests that the target handles when warm. */
        @Required
        @Option(name = "--capacity", title = "requests", description = "The requests that it bears at once when warm")
        int capacity;

        /** The number of concurrent requests that the target handles right after a cold start. */
        @Option(
                name = "--cold-capacity",
                title = "requests",
                description = "The requests that it bears at once right after a cold start")
        int coldCapacity = 1;

        /** The time from a cold start until the target handles its full capacity, in milliseconds. */
        @Option(
                name = "--warm-up-millis",
                title = "millis",
                description = "The time from a cold start until it bears its capacity, in milliseconds")
        long warmUpMillis = 30_000;

        /** Whether the target refuses orders with an old fencing number. */
        @Option(name = "--checks-fencing", title = "", description = "It refuses orders with an old fencing number")
        boolean checksFencing;

        /** {@inheritDoc} */
        @Override
        protected ToolRequest request() {
            return withBody(
                    "PUT",
                    "/operator/targets/" + ToolRequest.encodePart(target),
                    Map.of(
                            "service",
                            service,
                            "domain",
                            domain,
                            "address",
                            address,
                            "capacity",
                            capacity,
                            "cold_capacity",
                            coldCapacity,
                            "warm_up_ms",
                            warmUpMillis,
                            "checks_fencing",
                            checksFencing));
        }
    }

    /** Removes a target, which gets no new work from then on. */
    @Command(name = "remove", description = "Removes a target, which gets no new work from then on")
    public static final class Remove extends OperatorRequest.ForChange {

        @Required
        @Arguments(title = "target", description = "The name of the target")
        String target = "";

        /** {@inheritDoc} */
        @Override
        protected ToolRequest request() {
            return ToolRequest.of("DELETE", "/operator/targets/" + ToolRequest.encodePart(target));
        }
    }
}
