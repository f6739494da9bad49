package org.tanagermoor.cli.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.tanagermoor.cli.client.ToolRequest;

/** The operator commands that show the configuration, a change or the metrics. */
public final class FleetCommands {

    private FleetCommands() {}

    /** Shows the configuration that an instance has adopted. */
    @Command(name = "configuration", description = "Shows the configuration that an instance has adopted")
    public static final class Configuration extends OperatorRequest {

        /** {@inheritDoc} */
        @Override
        protected ToolRequest request() {
            return ToolRequest.of("GET", "/operator/configuration");
        }
    }

    /** Shows whether a change is recorded or in force. */
    @Command(name = "change", description = "Shows the state of a change")
    public static final class Change extends OperatorRequest {

        @Required
        @Arguments(title = "id", description = "The identity of the change")
        String id = "";

        /** {@inheritDoc} */
        @Override
        protected ToolRequest request() {
            return ToolRequest.of("GET", "/operator/changes/" + ToolRequest.encodePart(id));
        }
    }

    /** Shows the metrics of the first instance that can be reached. */
    @Command(name = "metrics", description = "Shows the metrics of an instance")
    public static final class Metrics extends OperatorRequest {

        /** {@inheritDoc} */
        @Override
        protected ToolRequest request() {
            return ToolRequest.of("GET", "/operator/metrics");
        }
    }
}
