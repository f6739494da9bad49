package org.tanagermoor.cli.command;

import org.tanagermoor.cli.ExitCode;

/** What the tool can do. */
public interface ToolAction {

    /**
     * Runs the command.
     *
     * @param context The environment and the streams.
     * @return How it ended.
     */
    ExitCode run(ToolContext context);
}
