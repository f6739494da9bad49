package org.tanagermoor.cli.command;

import java.io.InputStream;
import java.io.PrintStream;
import java.util.Map;

/**
 * The environment variables and standard streams with which a command runs.
 *
 * @param environment The environment variables.
 * @param in The standard input.
 * @param out The standard output.
 * @param err The standard error.
 */
public record ToolContext(Map<String, String> environment, InputStream in, PrintStream out, PrintStream err) {}
