package org.tanagermoor.kernel.failure;

/** An exception that carries a {@link Failure} through interfaces that accept only exceptions. */
public final class FailureException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final transient Failure failure;

    /** Creates an exception without a stack trace, whose message is the text of the failure. */
    public FailureException(Failure failure) {
        super(failure.toString(), null, false, false);
        this.failure = failure;
    }

    /**
     * Returns the failure that this exception carries.
     */
    public Failure failure() {
        return failure;
    }
}
