package org.tanagermoor.cli.command;

import org.tanagermoor.cli.ExitCode;

/** A command of the tool, with its parsed options. */
public interface ToolAction {

    /** Runs the command and returns the exit code of the process. */
    ExitCode run(ToolContext context);
}
