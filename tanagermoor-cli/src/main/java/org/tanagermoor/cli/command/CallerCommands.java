package org.tanagermoor.cli.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vavr.control.Either;
import java.io.UncheckedIOException;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.cli.ExitCode;
import org.tanagermoor.cli.client.ToolAnswer;
import org.tanagermoor.cli.client.ToolClient;
import org.tanagermoor.cli.client.ToolRequest;
import org.tanagermoor.http.Json;
import org.tanagermoor.kernel.failure.Failure;

/** The commands for callers, authorized with a team's key. */
public final class CallerCommands {

    private CallerCommands() {}

    /** A command that sends a single request and prints its answer. */
    abstract static class Single extends ToolCommand.ForCaller {

        /** Returns the request that the options describe. */
        protected abstract ToolRequest request();

        /** {@inheritDoc} */
        @Override
        protected ExitCode run(ToolClient client, ToolContext context) {
            return print(client.call(request()), context);
        }
    }

    /** Shows the instances that the directory advises callers to use. */
    @Command(name = "directory", description = "Shows which instances to use")
    public static final class Directory extends Single {

        /** {@inheritDoc} */
        @Override
        protected ToolRequest request() {
            return ToolRequest.of("GET", "/v1/directory");
        }
    }

    /** Sends an online request. */
    @Command(name = "online", description = "Sends a prompt to a model and prints the answer as it comes")
    public static final class Online extends ToolCommand.ForCaller {

        @Required
        @Arguments(title = "prompt", description = "The prompt")
        String prompt = "";

        @Required
        @Option(name = "--model", title = "name", description = "The model")
        String model = "";

        @Option(name = "--max-tokens", title = "tokens", description = "The most tokens to generate (default 64)")
        int maxTokens = 64;

        /** {@inheritDoc} */
        @Override
        protected ExitCode run(ToolClient client, ToolContext context) {
            byte[] body = Json.write(Map.of("model", model, "prompt", prompt, "max_tokens", maxTokens, "stream", true));
            EventStreamPrinter printer = new EventStreamPrinter(context.out(), json);
            Either<Failure, Integer> result = client.stream(
                    ToolRequest.of("POST", "/v1/completions").withBody("application/json", body), printer::accept);
            if (result.isLeft()) {
                return reportFailure(result.getLeft(), context);
            }
            if (!printer.complete()) {
                return reportFailure(
                        Failure.unknown(Failure.Kind.CORRUPT, "tool.stream", "instance", printer.problem()), context);
            }
            return ExitCode.DONE;
        }
    }

    /** Submits a batch job. */
    @Command(name = "batch", description = "Submits a job: JSON lines of id, repeatable and body")
    public static final class Batch extends ToolCommand.ForCaller {

        @Required
        @Arguments(title = "file", description = "The file with the items, or - for standard input")
        String file = "";

        /** The key that identifies the job when it is submitted again. */
        @Required
        @Option(
                name = "--job",
                title = "key",
                description = "The job's key; a resend with the same one is the same job")
        String job = "";

        @Required
        @Option(name = "--service", title = "name", description = "The service that runs the items")
        String service = "";

        /** The time from now until the job is due, in seconds. */
        @Option(name = "--due-in-seconds", title = "seconds", description = "When it is due, from now (default 28800)")
        long dueInSeconds = 28_800;

        /** {@inheritDoc} */
        @Override
        protected ExitCode run(ToolClient client, ToolContext context) {
            byte[] items;
            try {
                items = StandardInput.bytes(file, context.in());
            } catch (UncheckedIOException exception) {
                context.err().println("tanagermoor: " + exception.getMessage());
                return ExitCode.USAGE;
            }
            long due = System.currentTimeMillis() + dueInSeconds * 1_000;
            String path = "/v1/batches?job=" + ToolRequest.encodePart(job) + "&service="
                    + ToolRequest.encodePart(service) + "&due=" + due;
            return print(client.call(ToolRequest.of("POST", path).withBody("application/x-ndjson", items)), context);
        }
    }

    /** Lists the jobs of the team whose key is used. */
    @Command(name = "list", description = "Lists the jobs of the team")
    public static final class Jobs extends Single {

        /** {@inheritDoc} */
        @Override
        protected ToolRequest request() {
            return ToolRequest.of("GET", "/v1/batches");
        }
    }

    /** Shows the state of a job. */
    @Command(name = "status", description = "Shows the state of a job")
    public static final class JobStatus extends Single {

        @Required
        @Arguments(title = "job", description = "The job")
        String job = "";

        /** {@inheritDoc} */
        @Override
        protected ToolRequest request() {
            return ToolRequest.of("GET", "/v1/batches/" + ToolRequest.encodePart(job));
        }
    }

    /** Cancels a job; no item starts after the answer. */
    @Command(name = "cancel", description = "Cancels a job; no item starts after the answer")
    public static final class Cancel extends Single {

        @Required
        @Arguments(title = "job", description = "The job")
        String job = "";

        /** {@inheritDoc} */
        @Override
        protected ToolRequest request() {
            return ToolRequest.of("POST", "/v1/batches/" + ToolRequest.encodePart(job) + "/cancel");
        }
    }

    /** Prints the results of a job. */
    @Command(name = "results", description = "Prints the results of a job as JSON lines, in the order of the items")
    public static final class Results extends ToolCommand.ForCaller {

        @Required
        @Arguments(title = "job", description = "The job")
        String job = "";

        /** {@inheritDoc} */
        @Override
        protected ExitCode run(ToolClient client, ToolContext context) {
            ToolRequest request = ToolRequest.of("GET", "/v1/batches/" + ToolRequest.encodePart(job) + "/results");
            Either<Failure, Integer> result = client.stream(request, context.out()::writeBytes);
            context.out().flush();
            return result.isLeft() ? reportFailure(result.getLeft(), context) : ExitCode.DONE;
        }
    }

    /** Sends a request to a plain service. */
    @Command(name = "call", description = "Sends a request to a plain service and prints the answer")
    public static final class Call extends ToolCommand.ForCaller {

        @Required
        @Arguments(title = "path", description = "The path behind the name of the service")
        String path = "";

        @Required
        @Option(name = "--service", title = "name", description = "The service")
        String service = "";

        @Option(name = "--method", title = "method", description = "The HTTP method (default POST)")
        String method = "POST";

        @Option(name = "--body", title = "text", description = "The body")
        String body = "";

        /** The key with which the request can be resent safely, or null for none. */
        @Nullable
        @Option(name = "--idempotency-key", title = "key", description = "Makes a resend safe")
        String idempotencyKey;

        /** {@inheritDoc} */
        @Override
        protected boolean requiresKey() {
            return false;
        }

        /** {@inheritDoc} */
        @Override
        protected ExitCode run(ToolClient client, ToolContext context) {
            String start = "/services/" + ToolRequest.encodePart(service);
            ToolRequest request = ToolRequest.of(method, start + (path.startsWith("/") ? path : "/" + path))
                    .withBody("text/plain", body.getBytes(java.nio.charset.StandardCharsets.UTF_8));
            if (idempotencyKey != null) {
                request = request.withHeader("idempotency-key", idempotencyKey);
            }
            Either<Failure, ToolAnswer> answer = client.call(request);
            if (answer.isLeft()) {
                return reportFailure(answer.getLeft(), context);
            }
            context.out().writeBytes(answer.get().body());
            context.out().println();
            return ExitCode.DONE;
        }
    }
}
