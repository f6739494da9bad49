package org.tanagermoor.cli;

import org.tanagermoor.kernel.failure.Failure;

/** The exit codes of the tool, which scripts can distinguish. */
public enum ExitCode {

    /** The command succeeded. */
    DONE(0),

    /** The system refused the request, or the request failed. */
    REFUSED(1),

    /** The command line is invalid; nothing was sent. */
    USAGE(2),

    /** A change is durable, but not yet known to be in force. */
    RECORDED(3),

    /** No instance could be reached. */
    UNREACHABLE(4);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /** Returns the exit status of the process. */
    public int number() {
        return number;
    }

    /** Returns {@link #UNREACHABLE} if no connection was made, and {@link #REFUSED} for any other failure. */
    public static ExitCode of(Failure failure) {
        return failure.step().equals("tool.connect") ? UNREACHABLE : REFUSED;
    }
}
