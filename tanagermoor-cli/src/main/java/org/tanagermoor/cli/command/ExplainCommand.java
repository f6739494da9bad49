package org.tanagermoor.cli.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.OptionType;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.tanagermoor.cli.ExitCode;
import org.tanagermoor.cli.explain.Conclusion;
import org.tanagermoor.cli.explain.LogLine;
import org.tanagermoor.cli.explain.Logs;
import org.tanagermoor.cli.explain.RequestLog;
import org.tanagermoor.http.Json;

/** Explains the outcome of a request, an item or a job from the logs of all processes. Calls no instance. */
@Command(name = "explain", description = "Explains from log files what became of a request, an item or a job")
public final class ExplainCommand implements ToolAction {

    /** The identity of the request, followed by the log files. */
    @Required
    @Arguments(
            title = {"request id", "log files"},
            description = "The identity of a request, an item or a job, and the logs of all processes")
    List<String> arguments = new ArrayList<>();

    @Option(type = OptionType.GLOBAL, name = "--json", description = "Prints JSON instead of text")
    boolean json;

    /** {@inheritDoc} */
    @Override
    public ExitCode run(ToolContext context) {
        if (arguments.size() < 2) {
            context.err().println("tanagermoor: name a request and the log files: explain ID FILE...");
            return ExitCode.USAGE;
        }
        Logs logs = Logs.EMPTY;
        for (String file : arguments.subList(1, arguments.size())) {
            try {
                logs = logs.with(Path.of(file));
            } catch (IOException exception) {
                context.err().println("tanagermoor: cannot read " + file + ": " + exception);
                return ExitCode.USAGE;
            }
        }
        RequestLog log = RequestLog.of(arguments.get(0), logs.lines());
        if (log.lines().isEmpty()) {
            context.err().println("tanagermoor: no line of " + logs.lines().size() + " is about " + log.id());
            return ExitCode.REFUSED;
        }
        if (logs.dropped() > 0) {
            context.err()
                    .println("tanagermoor: the processes left out " + logs.dropped()
                            + " lines; what is missing may be among them");
        }
        if (json) {
            printJson(log, context.out());
        } else {
            print(log, context.out());
        }
        return ExitCode.DONE;
    }

    /** Prints the events with their time relative to the first one, then the conclusion; state changes are indented. */
    private static void print(RequestLog log, PrintStream out) {
        long first = log.lines().get(0).millis();
        Set<LogLine> stateChanges = new HashSet<>(log.stateChanges());
        Stream.concat(log.lines().stream(), log.stateChanges().stream())
                .distinct()
                .sorted(LogLine.ORDER)
                .forEach(line -> out.printf(
                        "%s%+8d ms  %s  %s  %s%n",
                        stateChanges.contains(line) ? "  " : "* ",
                        line.millis() - first,
                        line.process(),
                        line.event(),
                        line.details()));
        out.println();
        Conclusion.of(log).forEach(out::println);
    }

    /** Prints the conclusion, the lines and the state changes as a JSON object. */
    private static void printJson(RequestLog log, PrintStream out) {
        ObjectNode document = Json.mapper().createObjectNode();
        document.put("id", log.id());
        ArrayNode conclusion = document.putArray("conclusion");
        Conclusion.of(log).forEach(conclusion::add);
        ArrayNode lines = document.putArray("lines");
        log.lines().forEach(line -> lines.add(line.fields()));
        ArrayNode stateChanges = document.putArray("beside");
        log.stateChanges().forEach(line -> stateChanges.add(line.fields()));
        out.println(document);
    }
}
