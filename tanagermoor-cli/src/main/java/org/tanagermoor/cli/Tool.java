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
import org.tanagermoor.cli.command.ServiceCommands;
import org.tanagermoor.cli.command.StatusCommand;
import org.tanagermoor.cli.command.ToolContext;
import org.tanagermoor.cli.command.TargetCommands;
import org.tanagermoor.cli.command.TeamCommands;
import org.tanagermoor.cli.command.TimelineCommand;
import org.tanagermoor.cli.command.ToolAction;

/** The command-line tool {@code tanagermoor}. */
public final class Tool {

    /** There are no instances. */
    private Tool() {}

    /**
     * Runs a command and ends the process with its exit code.
     *
     * @param arguments The command line.
     */
    public static void main(String[] arguments) {
        ToolContext context = new ToolContext(System.getenv(), System.in, System.out, System.err);
        System.exit(run(List.of(arguments), context).number());
    }

    /**
     * Runs a command.
     *
     * @param arguments The command line.
     * @param context The environment and the streams.
     * @return How it ended.
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

    /**
     * Says what is wrong with a command line.
     *
     * @param problem What is wrong.
     * @param context The environment and the streams.
     * @return The exit code.
     */
    private static ExitCode reportUsageError(@Nullable String problem, ToolContext context) {
        context.err().println("tanagermoor: " + problem);
        context.err().println("tanagermoor: see tanagermoor help");
        return ExitCode.USAGE;
    }

    /**
     * Returns the words of a command line that asks for help, without the word {@code help}.
     *
     * @param arguments The command line.
     * @return The words that name a command.
     */
    private static List<String> commandWords(List<String> arguments) {
        return arguments.stream().filter(word -> !word.equals("help")).toList();
    }

    /**
     * Returns all commands.
     *
     * @return All commands.
     */
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

    /**
     * Adds a group of commands.
     *
     * @param builder The builder.
     * @param name The name of the group.
     * @param description What the group is for.
     * @param first The first command.
     * @return The group, to which more commands can be added.
     */
    private static com.github.rvesse.airline.builder.GroupBuilder<Object> group(
            CliBuilder<Object> builder, String name, String description, Class<? extends Object> first) {
        return builder.withGroup(name).withDescription(description).withCommand(first);
    }
}
