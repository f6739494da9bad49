package org.tanagermoor.cli.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.Map;
import org.tanagermoor.cli.client.ToolRequest;

/** The operator commands that list, define and remove services. */
public final class ServiceCommands {

    private ServiceCommands() {}

    /** Lists all services in the configuration. */
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

        /** The name of the service; for a model, the name of the model. */
        @Required
        @Arguments(title = "service", description = "The name of the service, for models the name of the model")
        String service = "";

        /** Whether the targets are model engines or plain servers. */
        @Option(name = "--kind", title = "model|plain", description = "What the targets are")
        String kind = "model";

        /** Whether requests need no key. */
        @Option(name = "--open", title = "", description = "Requests need no key")
        boolean open;

        /** Whether a request must not be repeated. */
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

    /** Removes a service that has no targets. */
    @Command(name = "remove", description = "Removes a service that no target has")
    public static final class Remove extends OperatorRequest.ForChange {

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
