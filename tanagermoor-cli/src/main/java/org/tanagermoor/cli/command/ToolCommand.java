package org.tanagermoor.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.OptionType;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.cli.ExitCode;
import org.tanagermoor.cli.client.ToolAnswer;
import org.tanagermoor.cli.client.ToolClient;
import org.tanagermoor.cli.output.Table;
import org.tanagermoor.http.Responses;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.setting.Address;

/** A command that calls instances. */
public abstract class ToolCommand implements ToolAction {

    /** The environment variable with the addresses of the instances, used without {@code --instances}. */
    public static final String INSTANCES_VARIABLE = "TANAGERMOOR_INSTANCES";

    /** The environment variable with the operators' key. */
    public static final String OPERATOR_KEY_VARIABLE = "TANAGERMOOR_OPERATOR_KEY";

    /** The environment variable with a caller's key. */
    public static final String KEY_VARIABLE = "TANAGERMOOR_KEY";

    /** The addresses from the command line, or null to use the environment variable. */
    @Nullable
    @Option(
            type = OptionType.GLOBAL,
            name = "--instances",
            title = "ip:port,...",
            description = "The instances to call, tried in order (TANAGERMOOR_INSTANCES)")
    protected String instances;

    /** Whether output and failures are printed as JSON instead of text. */
    @Option(type = OptionType.GLOBAL, name = "--json", description = "Prints JSON instead of text")
    protected boolean json;

    /** The maximum time between two parts of an answer, in milliseconds. */
    @Option(
            type = OptionType.GLOBAL,
            name = "--timeout-millis",
            title = "millis",
            description = "The longest time to wait for an answer, in milliseconds (default 30000)")
    protected long timeoutMillis = 30_000;

    /** {@inheritDoc} */
    @Override
    public ExitCode run(ToolContext context) {
        List<String> problems = new ArrayList<>(problems());
        List<Address> addresses = addresses(context.environment(), problems);
        String key = context.environment().getOrDefault(keyEnvironmentVariable(), "");
        if (requiresKey() && key.isEmpty()) {
            problems.add(keyEnvironmentVariable()
                    + " must be set: keys are never given as flags, which other users can see");
        }
        if (!problems.isEmpty()) {
            problems.forEach(problem -> context.err().println("tanagermoor: " + problem));
            return ExitCode.USAGE;
        }
        return run(ToolClient.of(addresses, key, Duration.ofMillis(timeoutMillis)), context);
    }

    /** Runs the command after the options have been checked and returns its exit code. */
    protected abstract ExitCode run(ToolClient client, ToolContext context);

    /** Returns the name of the environment variable with the key to send. */
    protected abstract String keyEnvironmentVariable();

    /** Returns whether the command fails if no key is set. */
    protected boolean requiresKey() {
        return true;
    }

    /** Returns a sentence for each problem with the options. */
    protected List<String> problems() {
        return List.of();
    }

    /** Prints an answer or a failure and returns the exit code of the command. */
    protected ExitCode print(Either<Failure, ToolAnswer> answer, ToolContext context) {
        if (answer.isLeft()) {
            return reportFailure(answer.getLeft(), context);
        }
        Either<Failure, JsonNode> document = answer.get().document();
        if (document.isLeft()) {
            return reportFailure(document.getLeft(), context);
        }
        print(document.get(), context.out());
        return answer.get().recorded() ? ExitCode.RECORDED : ExitCode.DONE;
    }

    /** Prints a document, as JSON if the option is set and as text otherwise. */
    protected void print(JsonNode document, PrintStream out) {
        if (json) {
            out.println(document.toString());
        } else {
            out.print(Table.of(document));
        }
    }

    /** Prints a failure to standard error and returns the exit code of the command. */
    protected ExitCode reportFailure(Failure failure, ToolContext context) {
        if (json) {
            context.err().println(Responses.body(failure));
        } else {
            context.err()
                    .println("tanagermoor: " + failure.detail() + " (" + failure.kind() + " at " + failure.step() + ", "
                            + failure.peer() + ", run: " + failure.execution().label() + ")");
        }
        return ExitCode.of(failure);
    }

    /** Returns the addresses of the instances and adds a sentence for each invalid one to the problems. */
    private List<Address> addresses(Map<String, String> environment, List<String> problems) {
        String text = instances != null ? instances : environment.getOrDefault(INSTANCES_VARIABLE, "");
        if (text.isBlank()) {
            problems.add("--instances (" + INSTANCES_VARIABLE + ") must be given, as ip:port,ip:port");
            return List.of();
        }
        List<Address> result = new ArrayList<>();
        for (String part : text.split(",")) {
            Address.parse(part.trim())
                    .peek(result::add)
                    .peekLeft(problem -> problems.add("--instances (" + INSTANCES_VARIABLE + ") " + problem));
        }
        return result;
    }

    /** A command that is authorized with the operators' key. */
    public abstract static class ForOperator extends ToolCommand {

        /** {@inheritDoc} */
        @Override
        protected String keyEnvironmentVariable() {
            return OPERATOR_KEY_VARIABLE;
        }
    }

    /** A command that is authorized with a caller's key. */
    public abstract static class ForCaller extends ToolCommand {

        /** {@inheritDoc} */
        @Override
        protected String keyEnvironmentVariable() {
            return KEY_VARIABLE;
        }
    }
}
