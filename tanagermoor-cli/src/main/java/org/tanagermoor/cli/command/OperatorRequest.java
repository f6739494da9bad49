package org.tanagermoor.cli.command;

import com.github.rvesse.airline.annotations.Option;
import java.util.UUID;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.cli.ExitCode;
import org.tanagermoor.cli.client.ToolClient;
import org.tanagermoor.cli.client.ToolRequest;
import org.tanagermoor.http.Json;

/** An operator command that sends a single request and prints its answer. */
abstract class OperatorRequest extends ToolCommand.ForOperator {

    private static final String JSON = "application/json";

    /** Returns the request that the options describe. */
    protected abstract ToolRequest request();

    /** Returns a request whose body is the given object as JSON. */
    protected static ToolRequest withBody(String method, String path, Object body) {
        return ToolRequest.of(method, path).withBody(JSON, Json.write(body));
    }

    /** {@inheritDoc} */
    @Override
    protected ExitCode run(ToolClient client, ToolContext context) {
        return print(client.call(request()), context);
    }

    /** A command that changes the configuration. */
    abstract static class ForChange extends OperatorRequest {

        /** The identity of the change, or null for a new random one. */
        @Nullable
        @Option(
                name = "--change-id",
                title = "id",
                description = "The identity of the change; a resend with the same one has no second effect")
        protected String changeId;

        /** The version that must be in force; negative for any version. */
        @Option(
                name = "--if-version",
                title = "version",
                description = "Refuses the change unless this is the version in force")
        protected long ifVersion = -1;

        /** {@inheritDoc} */
        @Override
        protected ExitCode run(ToolClient client, ToolContext context) {
            String id = changeId != null ? changeId : UUID.randomUUID().toString();
            ToolRequest request = request().withHeader("x-change-id", id);
            if (ifVersion >= 0) {
                request = request.withHeader("if-match", Long.toString(ifVersion));
            }
            return print(client.call(request), context);
        }
    }
}
