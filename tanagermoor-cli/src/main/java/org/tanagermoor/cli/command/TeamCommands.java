package org.tanagermoor.cli.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.Map;
import org.tanagermoor.cli.client.ToolRequest;

/** The operator commands that list, define and remove teams. */
public final class TeamCommands {

    private TeamCommands() {}

    /** Lists all teams in the configuration. */
    @Command(name = "list", description = "Lists the teams")
    public static final class Show extends OperatorRequest {

        /** {@inheritDoc} */
        @Override
        protected ToolRequest request() {
            return ToolRequest.of("GET", "/operator/teams");
        }
    }

    /** Creates or replaces a team. */
    @Command(name = "put", description = "Creates or replaces a team")
    public static final class Put extends OperatorRequest.ForChange {

        @Required
        @Arguments(title = "team", description = "The name of the team")
        String team = "";

        /** The allowed rate of online requests per second, over all instances. */
        @Required
        @Option(
                name = "--rate",
                title = "per second",
                description = "The online requests per second over all instances")
        double rate;

        /** The number of online requests that may arrive at once. */
        @Required
        @Option(name = "--burst", title = "requests", description = "The online requests that may come at once")
        double burst;

        /** The share in the fair queues relative to other teams. */
        @Option(
                name = "--weight",
                title = "weight",
                description = "The share in the fair queues relative to other teams")
        double weight = 1.0;

        /** {@inheritDoc} */
        @Override
        protected ToolRequest request() {
            return withBody(
                    "PUT",
                    "/operator/teams/" + ToolRequest.encodePart(team),
                    Map.of("rate_per_second", rate, "burst", burst, "weight", weight));
        }
    }

    /** Removes a team together with its keys. */
    @Command(name = "remove", description = "Removes a team with its keys")
    public static final class Remove extends OperatorRequest.ForChange {

        @Required
        @Arguments(title = "team", description = "The name of the team")
        String team = "";

        /** {@inheritDoc} */
        @Override
        protected ToolRequest request() {
            return ToolRequest.of("DELETE", "/operator/teams/" + ToolRequest.encodePart(team));
        }
    }
}
