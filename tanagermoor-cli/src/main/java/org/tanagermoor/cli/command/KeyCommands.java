package org.tanagermoor.cli.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.cli.ExitCode;
import org.tanagermoor.cli.client.ToolClient;
import org.tanagermoor.cli.client.ToolRequest;
import org.tanagermoor.http.Digests;

/** The operator commands for the keys of teams. Only the SHA-256 of a key is sent. */
public final class KeyCommands {

    private static final int KEY_BYTES = 32;

    private static final int SHA256_DIGITS = 64;

    private KeyCommands() {}

    /** Creates a key, prints it once and assigns it to a team. */
    @Command(name = "give", description = "Gives a new key to a team and prints it, once")
    public static final class Give extends OperatorRequest {

        @Required
        @Arguments(title = "team", description = "The name of the team")
        String team = "";

        /** The new key, set before the request is created. */
        private String key = "";

        /** {@inheritDoc} */
        @Override
        protected ToolRequest request() {
            return withBody(
                            "POST",
                            "/operator/teams/" + ToolRequest.encodePart(team) + "/keys",
                            Map.of("sha256", Digests.sha256(key)))
                    .withHeader("x-change-id", UUID.randomUUID().toString());
        }

        /** {@inheritDoc} */
        @Override
        protected ExitCode run(ToolClient client, ToolContext context) {
            byte[] bytes = new byte[KEY_BYTES];
            new SecureRandom().nextBytes(bytes);
            key = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
            context.out().println(json ? "{\"key\":\"" + key + "\"}" : "key: " + key);
            return super.run(client, context);
        }
    }

    /** Withdraws a key, so that requests with it are refused. */
    @Command(name = "withdraw", description = "Withdraws a key, named by its SHA-256 or read from standard input")
    public static final class Withdraw extends OperatorRequest.ForChange {

        /** The SHA-256 of the key in hexadecimal, or null to read the key from standard input. */
        @Nullable
        @Option(name = "--sha256", title = "digits", description = "The SHA-256 of the key, 64 hexadecimal digits")
        String sha256;

        /** {@inheritDoc} */
        @Override
        protected List<String> problems() {
            return sha256 != null && sha256.length() != SHA256_DIGITS
                    ? List.of("--sha256 must have " + SHA256_DIGITS + " hexadecimal digits")
                    : List.of();
        }

        /** {@inheritDoc} */
        @Override
        protected ExitCode run(ToolClient client, ToolContext context) {
            if (sha256 == null) {
                String key = StandardInput.text(context.in()).trim();
                if (key.isEmpty()) {
                    context.err().println("tanagermoor: give --sha256, or the key on standard input");
                    return ExitCode.USAGE;
                }
                sha256 = Digests.sha256(key);
            }
            return super.run(client, context);
        }

        /** {@inheritDoc} */
        @Override
        protected ToolRequest request() {
            return ToolRequest.of("DELETE", "/operator/keys/" + sha256);
        }
    }
}
