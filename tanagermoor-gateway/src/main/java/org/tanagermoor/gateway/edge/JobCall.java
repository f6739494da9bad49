package org.tanagermoor.gateway.edge;

import java.util.concurrent.TimeUnit;

/** A request about a job, which waits for the control store or for a result. Confined to the event loop. */
final class JobCall implements Call {

    private final CallContext context;

    private final Responder responder;

    /** The answer if the instance ends before the actual one is known. */
    private final Refusal unfinished;

    JobCall(CallContext context, Responder responder, Refusal unfinished) {
        this.context = context;
        this.responder = responder;
        this.unfinished = unfinished;
    }

    /** {@inheritDoc} */
    @Override
    public void left() {
        // The control store carries on with what it was asked for.
    }

    /** {@inheritDoc} */
    @Override
    public void writable(boolean value) {
        // The answer is written in one piece, so there is nothing to slow down.
    }

    /** {@inheritDoc} */
    @Override
    public void endBy(long nanos) {
        long left = Math.max(0, nanos - context.time().nanos());
        context.loop()
                .schedule(() -> responder.full(context.protocol().refusal(unfinished)), left, TimeUnit.NANOSECONDS);
    }
}
