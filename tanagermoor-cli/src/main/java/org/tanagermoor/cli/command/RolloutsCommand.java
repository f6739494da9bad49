package org.tanagermoor.cli.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Command;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import org.tanagermoor.cli.ExitCode;
import org.tanagermoor.cli.client.ToolAnswer;
import org.tanagermoor.cli.client.ToolClient;
import org.tanagermoor.cli.client.ToolRequest;
import org.tanagermoor.http.Json;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.setting.Address;

/**
 * Shows the roll-outs as instances on an outside control store know them. The evidence is at the instance that
 * dispatches, so all given instances are asked.
 */
@Command(
        name = "rollouts",
        description = "Shows the roll-outs with their evidence, from the metrics addresses that --instances gives")
public final class RolloutsCommand extends ToolCommand {

    private static final String PATH = "/rollouts";

    /** {@inheritDoc} */
    @Override
    protected ExitCode run(ToolClient client, ToolContext context) {
        ArrayNode rows = Json.mapper().createArrayNode();
        ExitCode worst = ExitCode.DONE;
        for (Address instance : client.instances()) {
            Either<Failure, String> text = client.withInstance(instance)
                    .call(ToolRequest.of("GET", PATH))
                    .map(ToolAnswer::body)
                    .map(body -> new String(body, StandardCharsets.UTF_8));
            if (text.isLeft()) {
                worst = reportFailure(text.getLeft(), context);
            } else if (json) {
                ObjectNode row = rows.addObject().put("instance", instance.toString());
                ArrayNode lines = row.putArray("rollouts");
                text.get().lines().forEach(lines::add);
            } else {
                context.out().println(instance + (text.get().isEmpty() ? ": no roll-outs" : ":"));
                text.get().lines().forEach(line -> context.out().println("  " + line));
            }
        }
        if (json) {
            context.out().println(rows);
        }
        return worst;
    }

    /** {@inheritDoc} */
    @Override
    protected String keyEnvironmentVariable() {
        return OPERATOR_KEY_VARIABLE;
    }

    /** Returns false, since the metrics address is reachable for operators only and takes no key. */
    @Override
    protected boolean requiresKey() {
        return false;
    }
}
