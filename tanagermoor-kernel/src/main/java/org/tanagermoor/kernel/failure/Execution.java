package org.tanagermoor.kernel.failure;

/** Whether a request may have been executed although it failed, which decides whether a retry is safe. */
public enum Execution {

    /** The request was certainly not executed; a retry is safe. */
    NOT_RUN("no"),

    /** The request may have been executed; a retry may execute it twice. */
    UNKNOWN("unknown");

    private final String label;

    Execution(String label) {
        this.label = label;
    }

    /**
     * Returns the value that is written in answers to callers: {@code no} or {@code unknown}.
     */
    public String label() {
        return label;
    }
}
