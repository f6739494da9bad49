package org.tanagermoor.cli.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.tanagermoor.cli.client.ToolRequest;

/** The operator commands that list failure domains, take them out and bring them back. */
public final class DomainCommands {

    private DomainCommands() {}

    /** Lists the failure domains and shows which are taken out. */
    @Command(name = "list", description = "Lists the failure domains and tells which are taken out")
    public static final class Show extends OperatorRequest {

        /** {@inheritDoc} */
        @Override
        protected ToolRequest request() {
            return ToolRequest.of("GET", "/operator/domains");
        }
    }

    /** Takes a failure domain out of service. */
    @Command(name = "out", description = "Takes a failure domain out")
    public static final class Out extends OperatorRequest.ForChange {

        @Required
        @Arguments(title = "domain", description = "The name of the failure domain")
        String domain = "";

        /** {@inheritDoc} */
        @Override
        protected ToolRequest request() {
            return ToolRequest.of("POST", "/operator/domains/" + ToolRequest.encodePart(domain) + "/out");
        }
    }

    /** Brings a failure domain back into service. */
    @Command(name = "back", description = "Brings a failure domain back")
    public static final class Back extends OperatorRequest.ForChange {

        @Required
        @Arguments(title = "domain", description = "The name of the failure domain")
        String domain = "";

        /** {@inheritDoc} */
        @Override
        protected ToolRequest request() {
            return ToolRequest.of("POST", "/operator/domains/" + ToolRequest.encodePart(domain) + "/back");
        }
    }
}
