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

/** Changes the configuration to match a declared fleet. Each change builds on the version of the one before. */
@Command(name = "apply", description = "Makes services, targets, teams and presets as a file declares them")
public final class ApplyCommand extends ToolCommand.ForOperator {

    private static final String STEP = "tool.apply";

    /** The maximum number of comparisons; another one is needed after each concurrent change. */
    private static final int MAX_ATTEMPTS = 5;

    /** The time before the fleet is compared again. */
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(500);

    @Required
    @Option(name = "--file", title = "file", description = "The declared fleet as JSON, or - for standard input")
    String file = "";

    @Option(name = "--dry-run", description = "Prints what would be changed, and changes nothing")
    boolean dryRun;

    /** Creates a command whose options have their default values. */
    public ApplyCommand() {}

    /** {@inheritDoc} */
    @Override
    protected ExitCode run(ToolClient client, ToolContext context) {
        Either<List<String>, DeclaredFleet> fleet = read(context);
        if (fleet.isLeft()) {
            return reportFailure(fleet.getLeft(), ExitCode.USAGE, context);
        }
        for (int attempt = 1; attempt < MAX_ATTEMPTS; attempt++) {
            Optional<ExitCode> exitCode = attempt(fleet.get(), client, context, false);
            if (exitCode.isPresent()) {
                return exitCode.get();
            }
            LockSupport.parkNanos(RETRY_INTERVAL.toNanos());
        }
        return attempt(fleet.get(), client, context, true).orElse(ExitCode.REFUSED);
    }

    /**
     * Compares the fleet with the configuration in force and applies or prints the differences.
     *
     * @param lastAttempt Whether a conflict is reported as a failure.
     * @return The exit code, or empty if a concurrent change requires another comparison.
     */
    private Optional<ExitCode> attempt(
            DeclaredFleet fleet, ToolClient client, ToolContext context, boolean lastAttempt) {
        Either<Failure, JsonNode> configuration =
                client.call(ToolRequest.of("GET", "/operator/configuration")).flatMap(ToolAnswer::document);
        if (configuration.isLeft()) {
            return Optional.of(reportFailure(configuration.getLeft(), context));
        }
        Either<List<String>, FleetPlan> plan = FleetPlan.of(fleet, configuration.get());
        if (plan.isLeft()) {
            return Optional.of(reportFailure(plan.getLeft(), ExitCode.REFUSED, context));
        }
        return dryRun ? Optional.of(printPlan(plan.get(), context)) : apply(plan.get(), client, context, lastAttempt);
    }

    /** Reads the declared fleet, or returns a sentence for each problem with the file. */
    private Either<List<String>, DeclaredFleet> read(ToolContext context) {
        try {
            byte[] bytes = StandardInput.bytes(file, context.in());
            return Json.read(STEP, bytes)
                    .mapLeft(failure -> List.of(file + ": " + failure.detail()))
                    .flatMap(DeclaredFleet::of);
        } catch (UncheckedIOException exception) {
            return Either.left(List.of(String.valueOf(exception.getMessage())));
        }
    }

    /** Prints the problems found and returns the given exit code. */
    private static ExitCode reportFailure(List<String> problems, ExitCode exitCode, ToolContext context) {
        problems.forEach(problem -> context.err().println("tanagermoor: " + problem));
        return exitCode;
    }

    private ExitCode printPlan(FleetPlan plan, ToolContext context) {
        ArrayNode differences = Json.mapper().createArrayNode();
        plan.differences().forEach(difference -> differences.add(difference.toJson()));
        if (json) {
            ObjectNode document = Json.mapper().createObjectNode().put("version", plan.version());
            document.set("differences", differences);
            plan.undeclared().forEach(document.putArray("undeclared")::add);
            print(document, context.out());
        } else {
            print(differences, context.out());
            plan.undeclared().forEach(name -> context.out().println("not declared, left as it is: " + name));
        }
        return ExitCode.DONE;
    }

    /**
     * Applies the changes of a plan in order and stops at the first one that is refused.
     *
     * @param lastAttempt Whether a conflict is reported as a failure.
     * @return The exit code, or empty if a concurrent change conflicted.
     */
    private Optional<ExitCode> apply(FleetPlan plan, ToolClient client, ToolContext context, boolean lastAttempt) {
        long version = plan.version();
        boolean recorded = false;
        int applied = 0;
        for (Difference difference : plan.differences()) {
            Either<Failure, ToolAnswer> answer = client.call(withBaseVersion(difference.request(), version));
            Either<Failure, JsonNode> document = answer.flatMap(ToolAnswer::document);
            if (document.isLeft()) {
                Failure failure = document.getLeft();
                return failure.kind() == Failure.Kind.CONFLICT && !lastAttempt
                        ? Optional.empty()
                        : Optional.of(reportFailure(failure, difference, applied, plan, context));
            }
            recorded = answer.get().recorded();
            version = document.get().path("version").asLong();
            applied++;
            if (!json) {
                context.out()
                        .println(difference.subject() + ": "
                                + document.get().path("state").asText());
            }
        }
        print(
                Json.mapper()
                        .createObjectNode()
                        .put("state", recorded ? "recorded" : "accepted")
                        .put("version", version)
                        .put("applied", applied),
                context.out());
        return Optional.of(recorded ? ExitCode.RECORDED : ExitCode.DONE);
    }

    /**
     * Reports a refused change and the number of changes applied before it.
     *
     * @param applied The number of changes that were applied and stay in force.
     */
    private ExitCode reportFailure(
            Failure failure, Difference difference, int applied, FleetPlan plan, ToolContext context) {
        context.err()
                .println("tanagermoor: " + difference.subject() + " was not applied; applied before it: " + applied
                        + " of " + plan.differences().size() + "; what was applied stays, apply again");
        return reportFailure(failure, context);
    }

    /** Returns a request with a new change id that is accepted only if the version is still in force. */
    private static ToolRequest withBaseVersion(ToolRequest request, long version) {
        return request.withHeader("x-change-id", UUID.randomUUID().toString())
                .withHeader("if-match", Long.toString(version));
    }
}
