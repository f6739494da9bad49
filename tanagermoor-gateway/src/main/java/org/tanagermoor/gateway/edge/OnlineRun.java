package org.tanagermoor.gateway.edge;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.gateway.forward.Delivery;
import org.tanagermoor.gateway.forward.EventFrames;
import org.tanagermoor.gateway.forward.TargetConnections;
import org.tanagermoor.gateway.forward.TargetHead;
import org.tanagermoor.gateway.forward.TargetListener;
import org.tanagermoor.gateway.forward.TargetRequest;
import org.tanagermoor.kernel.failure.Failure;

/**
 * One run of an online request at a target. Delivers what the target sends to its call until it ends, so that nothing
 * of a run that was given up reaches the caller. Confined to the event loop.
 */
final class OnlineRun implements TargetListener {

    /**
     * The silence after which a target counts as lost, in milliseconds: far above the pauses of a slow target, and
     * below the 2 s after which callers of streams stop waiting, so that a run at another target still reaches them.
     */
    private static final long SILENCE_TIMEOUT_MILLIS = 1_700;

    private final CallContext context;

    private final OnlineCall call;

    private final TargetEntry target;

    /** The number of the last event before this run. */
    private final long startEvent;

    /** Splits the answer into events; {@code null} if it is passed on as it comes. */
    @Nullable
    private EventFrames frames;

    /** {@code null} before the request is sent. */
    private TargetConnections.@Nullable Exchange exchange;

    /** The next check for a silent target; {@code null} while no check is scheduled. */
    @Nullable
    private ScheduledFuture<?> silenceCheck;

    /** The monotonic time in nanoseconds at which the target last sent something new. */
    private long receivedAt;

    private boolean ended;

    OnlineRun(CallContext context, OnlineCall call, TargetEntry target, long startEvent) {
        this.context = context;
        this.call = call;
        this.target = target;
        this.startEvent = startEvent;
        receivedAt = context.time().nanos();
    }

    /** Returns the identity of the target. */
    String targetId() {
        return target.id();
    }

    /** Returns the number of the last event before this run. */
    long startEvent() {
        return startEvent;
    }

    boolean ended() {
        return ended;
    }

    /**
     * Sends the request.
     *
     * @param request The request.
     * @param endsIfSilent Whether the run ends when the target is silent for long. Only streams send data all the time.
     */
    void start(TargetRequest request, boolean endsIfSilent) {
        if (endsIfSilent) {
            scheduleSilenceCheck(SILENCE_TIMEOUT_MILLIS);
        }
        exchange = context.connections().send(target, request, this);
    }

    /** Splits the body that follows into events. */
    void splitIntoEvents() {
        frames = EventFrames.of();
    }

    /** Notes that the target has sent something new. */
    void received() {
        receivedAt = context.time().nanos();
    }

    /** Resumes or pauses reading of the answer. */
    void setReading(boolean value) {
        if (exchange != null && !ended) {
            exchange.setReading(value);
        }
    }

    /** Ends the run, if it has not ended; nothing that the target sends is delivered any more. */
    void stop() {
        if (!ended) {
            markEnded();
            if (exchange != null) {
                exchange.cancel();
            }
        }
    }

    /** {@inheritDoc} */
    @Override
    public void head(TargetHead head, HttpResponse response) {
        if (!ended) {
            received();
            call.headReceived(this, head, response);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void body(ByteBuf content) {
        if (ended) {
            return;
        }
        if (frames == null) {
            received();
            call.bodyReceived(content.retainedSlice());
        } else {
            for (EventFrames.Event event : frames.add(content)) {
                call.eventReceived(this, event);
                if (ended) {
                    return;
                }
            }
        }
        if (!call.callerReads()) {
            setReading(false);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void end(Delivery delivery) {
        if (!ended) {
            markEnded();
            call.answerEnded(this, frames, delivery);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void failed(Failure failure) {
        if (!ended) {
            markEnded();
            call.runFailed(this, failure);
        }
    }

    private void markEnded() {
        ended = true;
        if (silenceCheck != null) {
            silenceCheck.cancel(false);
        }
    }

    private void scheduleSilenceCheck(long millis) {
        silenceCheck = context.loop().schedule(this::checkSilence, millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Gives up a target that has become silent. A target whose caller does not read is not silent: it is held back by
     * flow control.
     */
    private void checkSilence() {
        if (ended) {
            return;
        }
        long silentMillis = TimeUnit.NANOSECONDS.toMillis(context.time().nanos() - receivedAt);
        if (silentMillis < SILENCE_TIMEOUT_MILLIS) {
            scheduleSilenceCheck(SILENCE_TIMEOUT_MILLIS - silentMillis);
        } else if (!call.callerReads()) {
            scheduleSilenceCheck(SILENCE_TIMEOUT_MILLIS);
        } else {
            call.targetSilent(silentMillis);
        }
    }
}
