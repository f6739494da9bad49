package org.tanagermoor.cli;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.cli.command.ApplyCommand;
import org.tanagermoor.cli.command.CallerCommands;
import org.tanagermoor.cli.command.DomainCommands;
import org.tanagermoor.cli.command.ExplainCommand;
import org.tanagermoor.cli.command.FleetCommands;
import org.tanagermoor.cli.command.KeyCommands;
import org.tanagermoor.cli.command.PresetCommands;
import org.tanagermoor.cli.command.RolloutsCommand;
import org.tanagermoor.cli.command.ServiceCommands;
import org.tanagermoor.cli.command.StatusCommand;
import org.tanagermoor.cli.command.TargetCommands;
import org.tanagermoor.cli.command.TeamCommands;
import org.tanagermoor.cli.command.TimelineCommand;
import org.tanagermoor.cli.command.ToolAction;
import org.tanagermoor.cli.command.ToolContext;

/** The entry point of the command-line tool {@code tanagermoor}. */
public final class Tool {

    private Tool() {}

    /** Runs a command and ends the process with its exit code. */
    public static void main(String[] arguments) {
        ToolContext context = new ToolContext(System.getenv(), System.in, System.out, System.err);
        System.exit(run(List.of(arguments), context).number());
    }

    /**
     * Runs a command without ending the process.
     *
     * @param context The environment and the streams that replace those of the process.
     * @throws UncheckedIOException If the help text cannot be written.
     */
    public static ExitCode run(List<String> arguments, ToolContext context) {
        Cli<Object> cli = cli();
        try {
            Object command = cli.parse(arguments.toArray(String[]::new));
            if (command instanceof ToolAction action) {
                return action.run(context);
            }
            if (!arguments.isEmpty() && !arguments.contains("help")) {
                return reportUsageError("no such command: " + String.join(" ", arguments), context);
            }
            Help.help(cli.getMetadata(), commandWords(arguments), context.out());
            return ExitCode.DONE;
        } catch (ParseException exception) {
            return reportUsageError(exception.getMessage(), context);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private static ExitCode reportUsageError(@Nullable String problem, ToolContext context) {
        context.err().println("tanagermoor: " + problem);
        context.err().println("tanagermoor: see tanagermoor help");
        return ExitCode.USAGE;
    }

    /** Returns the command line without the word {@code help}. */
    private static List<String> commandWords(List<String> arguments) {
        return arguments.stream().filter(word -> !word.equals("help")).toList();
    }

    private static Cli<Object> cli() {
        CliBuilder<Object> builder = Cli.<Object>builder("tanagermoor")
                .withDescription("Operates a tanagermoor fleet and sends requests to it")
                .withDefaultCommand(Help.class)
                .withCommand(Help.class)
                .withCommand(StatusCommand.class)
                .withCommand(StatusCommand.Instance.class)
                .withCommand(TimelineCommand.class)
                .withCommand(ExplainCommand.class)
                .withCommand(ApplyCommand.class)
                .withCommand(RolloutsCommand.class)
                .withCommand(FleetCommands.Configuration.class)
                .withCommand(FleetCommands.Change.class)
                .withCommand(FleetCommands.Metrics.class)
                .withCommand(CallerCommands.Directory.class)
                .withCommand(CallerCommands.Call.class);
        group(builder, "preset", "Presets, of which exactly one is in force", PresetCommands.Show.class)
                .withCommands(PresetCommands.Describe.class, PresetCommands.Put.class, PresetCommands.Activate.class);
        group(builder, "domain", "Failure domains, taken out and brought back", DomainCommands.Show.class)
                .withCommands(DomainCommands.Out.class, DomainCommands.Back.class);
        group(builder, "team", "Teams and their limits", TeamCommands.Show.class)
                .withCommands(TeamCommands.Put.class, TeamCommands.Remove.class);
        group(builder, "key", "Keys of teams", KeyCommands.Give.class).withCommand(KeyCommands.Withdraw.class);
        group(builder, "service", "Services", ServiceCommands.Show.class)
                .withCommands(ServiceCommands.Put.class, ServiceCommands.Remove.class);
        group(builder, "target", "Targets", TargetCommands.Show.class)
                .withCommands(TargetCommands.Put.class, TargetCommands.Remove.class);
        group(builder, "submit", "Requests and jobs", CallerCommands.Online.class)
                .withCommand(CallerCommands.Batch.class);
        group(builder, "job", "Batch jobs", CallerCommands.Jobs.class)
                .withCommands(
                        CallerCommands.JobStatus.class, CallerCommands.Cancel.class, CallerCommands.Results.class);
        return builder.build();
    }

    /** Adds a group of commands with its first command and returns it, so that the caller can add more commands. */
    private static com.github.rvesse.airline.builder.GroupBuilder<Object> group(
            CliBuilder<Object> builder, String name, String description, Class<? extends Object> first) {
        return builder.withGroup(name).withDescription(description).withCommand(first);
    }
}
