package org.tanagermoor.cli.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.Map;
import org.tanagermoor.cli.client.ToolRequest;

/** Commands for services. */
public final class ServiceCommands {

    /** There are no instances. */
    private ServiceCommands() {}

    /** Lists the services. */
    @Command(name = "list", description = "Lists the services")
    public static final class Show extends OperatorRequest {

        /** {@inheritDoc} */
        @Override
        protected ToolRequest request() {
            return ToolRequest.of("GET", "/operator/services");
        }
    }

    /** Creates or replaces a service. */
    @Command(name = "put", description = "Creates or replaces a service")
    public static final class Put extends OperatorRequest.ForChange {

        /** The name of the service, for models the name of the model. */
        @Required
        @Arguments(title = "service", description = "The name of the service, for models the name of the model")
        String service = "";

        /** What the targets are. */
        @Option(name = "--kind", title = "model|plain", description = "What the targets are")
        String kind = "model";

        /** Requests need no key. */
        @Option(name = "--open", title = "", description = "Requests need no key")
        boolean open;

        /** A request must not be repeated. */
        @Option(name = "--not-idempotent", title = "", description = "A request must not be repeated")
        boolean notIdempotent;

        /** {@inheritDoc} */
        @Override
        protected ToolRequest request() {
            return withBody(
                    "PUT",
                    "/operator/services/" + ToolRequest.encodePart(service),
                    Map.of("kind", kind, "open", open, "idempotent", !notIdempotent));
        }
    }

    /** Removes a service that no target has. */
    @Command(name = "remove", description = "Removes a service that no target has")
    public static final class Remove extends OperatorRequest.ForChange {

        /** The name of the service. */
        @Required
        @Arguments(title = "service", description = "The name of the service")
        String service = "";

        /** {@inheritDoc} */
        @Override
        protected ToolRequest request() {
            return ToolRequest.of("DELETE", "/operator/services/" + ToolRequest.encodePart(service));
        }
    }
}
