package org.tanagermoor.cli.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.tanagermoor.cli.client.ToolRequest;

/** Commands for failure domains. */
public final class DomainCommands {

    /** There are no instances. */
    private DomainCommands() {}

    /** Lists the failure domains and tells which are taken out. */
    @Command(name = "list", description = "Lists the failure domains and tells which are taken out")
    public static final class Show extends OperatorRequest {

        /** {@inheritDoc} */
        @Override
        protected ToolRequest request() {
            return ToolRequest.of("GET", "/operator/domains");
        }
    }

    /** Takes a failure domain out. */
    @Command(name = "out", description = "Takes a failure domain out")
    public static final class Out extends OperatorRequest.ForChange {

        /** The name of the failure domain. */
        @Required
        @Arguments(title = "domain", description = "The name of the failure domain")
        String domain = "";

        /** {@inheritDoc} */
        @Override
        protected ToolRequest request() {
            return ToolRequest.of("POST", "/operator/domains/" + ToolRequest.encodePart(domain) + "/out");
        }
    }

    /** Brings a failure domain back. */
    @Command(name = "back", description = "Brings a failure domain back")
    public static final class Back extends OperatorRequest.ForChange {

        /** The name of the failure domain. */
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
