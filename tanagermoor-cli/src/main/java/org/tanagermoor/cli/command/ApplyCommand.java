package org.tanagermoor.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vavr.control.Either;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.locks.LockSupport;
import org.tanagermoor.cli.ExitCode;
import org.tanagermoor.cli.client.ToolAnswer;
import org.tanagermoor.cli.client.ToolClient;
import org.tanagermoor.cli.client.ToolRequest;
import org.tanagermoor.cli.fleet.DeclaredFleet;
import org.tanagermoor.cli.fleet.Difference;
import org.tanagermoor.cli.fleet.FleetPlan;
import org.tanagermoor.http.Json;
import org.tanagermoor.kernel.failure.Failure;

/** Makes the configuration as a file declares it. Each change is based on the version that the one before made. */
@Command(name = "apply", description = "Makes services, targets, teams and presets as a file declares them")
public final class ApplyCommand extends ToolCommand.ForOperator {

    /** The step that failures name. */
    private static final String STEP = "tool.apply";

    /** How often the fleet is compared at most, because another change came between. */
    private static final int ATTEMPTS = 5;

    /** The time before the fleet is compared anew. */
    private static final Duration PAUSE = Duration.ofMillis(500);

    /** The file. */
    @Required
    @Option(name = "--file", title = "file", description = "The declared fleet as JSON, or - for standard input")
    String file = "";

    /** Whether to print the differences only. */
    @Option(name = "--dry-run", description = "Prints what would be changed, and changes nothing")
    boolean dryRun;

    /** Creates a command with its defaults. */
    public ApplyCommand() {}

    /** {@inheritDoc} */
    @Override
    protected ExitCode run(ToolClient client, ToolContext surroundings) {
        Either<List<String>, DeclaredFleet> fleet = read(surroundings);
        if (fleet.isLeft()) {
            return refuse(fleet.getLeft(), ExitCode.USAGE, surroundings);
        }
        for (int attempt = 1; attempt < ATTEMPTS; attempt++) {
            Optional<ExitCode> code = attempt(fleet.get(), client, surroundings, false);
            if (code.isPresent()) {
                return code.get();
            }
            LockSupport.parkNanos(PAUSE.toNanos());
        }
        return attempt(fleet.get(), client, surroundings, true).orElse(ExitCode.REFUSED);
    }

    /**
     * Compares the fleet with the configuration in force and applies the differences or shows them.
     *
     * @param fleet The declared fleet.
     * @param client The client.
     * @param surroundings The environment and the streams.
     * @param last Whether a conflict is refused.
     * @return How the command ended, or nothing if another change came between and the fleet is to be compared anew.
     */
    private Optional<ExitCode> attempt(
            DeclaredFleet fleet, ToolClient client, ToolContext surroundings, boolean last) {
        Either<Failure, JsonNode> configuration =
                client.call(ToolRequest.of("GET", "/operator/configuration")).flatMap(ToolAnswer::document);
        if (configuration.isLeft()) {
            return Optional.of(refuse(configuration.getLeft(), surroundings));
        }
        Either<List<String>, FleetPlan> plan = FleetPlan.of(fleet, configuration.get());
        if (plan.isLeft()) {
            return Optional.of(refuse(plan.getLeft(), ExitCode.REFUSED, surroundings));
        }
        return dryRun ? Optional.of(show(plan.get(), surroundings)) : apply(plan.get(), client, surroundings, last);
    }

    /**
     * Reads the file.
     *
     * @param surroundings The environment and the streams.
     * @return The declared fleet, or a sentence for each thing that is wrong with it.
     */
    private Either<List<String>, DeclaredFleet> read(ToolContext surroundings) {
        try {
            byte[] bytes = StandardInput.bytes(file, surroundings.in());
            return Json.read(STEP, bytes)
                    .mapLeft(failure -> List.of(file + ": " + failure.detail()))
                    .flatMap(DeclaredFleet::of);
        } catch (UncheckedIOException exception) {
            return Either.left(List.of(String.valueOf(exception.getMessage())));
        }
    }

    /**
     * Says what is wrong with the file.
     *
     * @param problems A sentence for each thing that is wrong.
     * @param code How the command ends.
     * @param surroundings The environment and the streams.
     * @return How the command ended.
     */
    private static ExitCode refuse(List<String> problems, ExitCode code, ToolContext surroundings) {
        problems.forEach(problem -> surroundings.err().println("tanagermoor: " + problem));
        return code;
    }

    /**
     * Prints a plan.
     *
     * @param plan The plan.
     * @param surroundings The environment and the streams.
     * @return How the command ended.
     */
    private ExitCode show(FleetPlan plan, ToolContext surroundings) {
        ArrayNode differences = Json.mapper().createArrayNode();
        plan.differences().forEach(difference -> differences.add(difference.toJson()));
        if (json) {
            ObjectNode document = Json.mapper().createObjectNode().put("version", plan.version());
            document.set("differences", differences);
            plan.undeclared().forEach(document.putArray("undeclared")::add);
            print(document, surroundings.out());
        } else {
            print(differences, surroundings.out());
            plan.undeclared().forEach(name -> surroundings.out().println("not declared, left as it is: " + name));
        }
        return ExitCode.DONE;
    }

    /**
     * Applies a plan, one change after the other. Ends at the first change that is refused.
     *
     * @param plan The plan.
     * @param client The client.
     * @param surroundings The environment and the streams.
     * @param last Whether a conflict is refused.
     * @return How the command ended, or nothing if another change came between.
     */
    private Optional<ExitCode> apply(FleetPlan plan, ToolClient client, ToolContext surroundings, boolean last) {
        long version = plan.version();
        boolean recorded = false;
        int applied = 0;
        for (Difference difference : plan.differences()) {
            Either<Failure, ToolAnswer> answer = client.call(based(difference.request(), version));
            Either<Failure, JsonNode> document = answer.flatMap(ToolAnswer::document);
            if (document.isLeft()) {
                Failure failure = document.getLeft();
                return failure.kind() == Failure.Kind.CONFLICT && !last
                        ? Optional.empty()
                        : Optional.of(refuse(failure, difference, applied, plan, surroundings));
            }
            recorded = answer.get().recorded();
            version = document.get().path("version").asLong();
            applied++;
            if (!json) {
                surroundings
                        .out()
                        .println(difference.what() + ": "
                                + document.get().path("state").asText());
            }
        }
        print(
                Json.mapper()
                        .createObjectNode()
                        .put("state", recorded ? "recorded" : "accepted")
                        .put("version", version)
                        .put("applied", applied),
                surroundings.out());
        return Optional.of(recorded ? ExitCode.RECORDED : ExitCode.DONE);
    }

    /**
     * Says that a change was refused.
     *
     * @param failure Why.
     * @param difference The difference that the change would have removed.
     * @param applied The number of changes before it.
     * @param plan The plan.
     * @param surroundings The environment and the streams.
     * @return How the command ended.
     */
    private ExitCode refuse(
            Failure failure, Difference difference, int applied, FleetPlan plan, ToolContext surroundings) {
        surroundings
                .err()
                .println("tanagermoor: " + difference.what() + " was not applied; applied before it: " + applied
                        + " of " + plan.differences().size() + "; what was applied stays, apply again");
        return refuse(failure, surroundings);
    }

    /**
     * Returns a request for a change that is based on a version.
     *
     * @param request The request.
     * @param version The version.
     * @return The request with its headers.
     */
    private static ToolRequest based(ToolRequest request, long version) {
        return request.withHeader("x-change-id", UUID.randomUUID().toString())
                .withHeader("if-match", Long.toString(version));
    }
}
