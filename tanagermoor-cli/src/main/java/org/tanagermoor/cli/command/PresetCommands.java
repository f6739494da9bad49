package org.tanagermoor.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.tanagermoor.cli.ExitCode;
import org.tanagermoor.cli.client.ToolAnswer;
import org.tanagermoor.cli.client.ToolClient;
import org.tanagermoor.cli.client.ToolRequest;
import org.tanagermoor.kernel.failure.Failure;

/** The operator commands that show, define and activate presets. */
public final class PresetCommands {

    private PresetCommands() {}

    /** Lists the presets and shows which one is in force. */
    @Command(name = "list", description = "Lists the presets and tells which one is in force")
    public static final class Show extends OperatorRequest {

        /** {@inheritDoc} */
        @Override
        protected ToolRequest request() {
            return ToolRequest.of("GET", "/operator/presets");
        }
    }

    /** Shows one preset and whether it is in force. */
    @Command(name = "show", description = "Shows one preset and whether it is in force")
    public static final class Describe extends ToolCommand.ForOperator {

        @Required
        @Arguments(title = "preset", description = "The name of the preset")
        String preset = "";

        /** {@inheritDoc} */
        @Override
        protected ExitCode run(ToolClient client, ToolContext context) {
            Either<Failure, JsonNode> found = client.call(ToolRequest.of("GET", "/operator/presets"))
                    .flatMap(ToolAnswer::document)
                    .flatMap(this::find);
            if (found.isLeft()) {
                return reportFailure(found.getLeft(), context);
            }
            print(found.get(), context.out());
            return ExitCode.DONE;
        }

        /** Returns the preset with the field {@code in_force} added, or a failure if there is no such preset. */
        private Either<Failure, JsonNode> find(JsonNode document) {
            for (JsonNode entry : document.path("presets")) {
                if (entry.path("preset").asText().equals(preset)) {
                    ObjectNode shown = entry.deepCopy();
                    String inForce = document.path("preset_in_force").asText();
                    return Either.right(shown.put("in_force", inForce.equals(preset)));
                }
            }
            return Either.left(Failure.notRun(
                    Failure.Kind.NOT_FOUND, "tool.preset", Failure.LOCAL, "there is no preset " + preset));
        }
    }

    /** Creates or replaces a preset. */
    @Command(name = "put", description = "Creates or replaces a preset")
    public static final class Put extends OperatorRequest.ForChange {

        /** The fields of an engine in the order of the option. */
        private static final List<String> ENGINE_FIELDS = List.of("model", "version", "role");

        @Required
        @Arguments(title = "preset", description = "The name of the preset")
        String preset = "";

        /** The maximum part of each target's capacity that batch may use, from 0 to 1. */
        @Option(
                name = "--batch-share",
                title = "0..1",
                description = "The largest part of each target's capacity that batch may use")
        double batchShare = 1.0;

        /** The part of each target's capacity that batch leaves free, from 0 to 1. */
        @Option(
                name = "--online-reserve",
                title = "0..1",
                description = "The part of each target's capacity that batch leaves free")
        double onlineReserve = 0.125;

        /** The factor by which the rates of all teams are multiplied. */
        @Option(
                name = "--rate-factor",
                title = "factor",
                description = "The factor by which the rates of all teams are multiplied")
        double rateFactor = 1.0;

        /** The loads from the weight store that all instances together start in a minute. */
        @Option(
                name = "--loads-per-minute",
                title = "loads",
                description = "The loads from the weight store that all instances together begin in a minute")
        double loadsPerMinute = 2.0;

        /** The desired state of model engines, one text for each target. */
        @Option(
                name = "--engine",
                title = "target=model:version:role[:adapter,...]",
                description = "What is wanted of a model engine; may be repeated")
        List<String> engines = new ArrayList<>();

        /** {@inheritDoc} */
        @Override
        protected ToolRequest request() {
            return withBody(
                    "PUT",
                    "/operator/presets/" + ToolRequest.encodePart(preset),
                    Map.of(
                            "batch_share",
                            batchShare,
                            "online_reserve",
                            onlineReserve,
                            "rate_factor",
                            rateFactor,
                            "loads_per_minute",
                            loadsPerMinute,
                            "engines",
                            engines()));
        }

        /** Returns the desired state of engines by target name. The instance refuses a state with missing fields. */
        private Map<String, Map<String, Object>> engines() {
            Map<String, Map<String, Object>> result = new TreeMap<>();
            for (String text : engines) {
                String[] parts = text.split("=", 2);
                result.put(parts[0], parseEngine(parts.length > 1 ? parts[1] : ""));
            }
            return result;
        }

        /** Parses the text after the target name and omits the fields that it does not have. */
        private static Map<String, Object> parseEngine(String text) {
            String[] parts = text.split(":", -1);
            Map<String, Object> result = new TreeMap<>();
            for (int index = 0; index < Math.min(parts.length, ENGINE_FIELDS.size()); index++) {
                result.put(ENGINE_FIELDS.get(index), parts[index]);
            }
            boolean adapters = parts.length > ENGINE_FIELDS.size() && !parts[ENGINE_FIELDS.size()].isEmpty();
            result.put("adapters", adapters ? List.of(parts[ENGINE_FIELDS.size()].split(",", -1)) : List.of());
            return result;
        }
    }

    /** Puts a preset in force in place of the current one. */
    @Command(name = "activate", description = "Puts a preset in force in place of the one that is")
    public static final class Activate extends OperatorRequest.ForChange {

        @Required
        @Arguments(title = "preset", description = "The name of the preset")
        String preset = "";

        /** {@inheritDoc} */
        @Override
        protected ToolRequest request() {
            return ToolRequest.of("POST", "/operator/presets/" + ToolRequest.encodePart(preset) + "/activate");
        }
    }
}
