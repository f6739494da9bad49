package org.tanagermoor.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;

/**
 * The faults of an operation.
 *
 * @param down Whether all calls are refused as unavailable.
 * @param slow The time by which each call takes effect late.
 * @param lostAnswers The number of calls that take effect without an answer, or {@link #ALWAYS}.
 * @param rateLimited Whether all calls are refused as beyond the rate.
 */
public record Fault(boolean down, Duration slow, int lostAnswers, boolean rateLimited) {

    /** The number of lost answers that stands for all. */
    public static final int ALWAYS = -1;

    /** No fault. */
    public static final Fault NONE = new Fault(false, Duration.ZERO, 0, false);

    /** The fault of being down. */
    public static final Fault DOWN = new Fault(true, Duration.ZERO, 0, false);

    /** The fault of refusing all calls as beyond the rate. */
    public static final Fault RATE_LIMITED = new Fault(false, Duration.ZERO, 0, true);

    /**
     * Returns the fault of being slow.
     *
     * @param delay The time by which each call takes effect late.
     * @return A fault.
     */
    public static Fault slow(Duration delay) {
        return new Fault(false, delay, 0, false);
    }

    /**
     * Returns the fault of losing answers.
     *
     * @param count The number of calls that take effect without an answer, or {@link #ALWAYS}.
     * @return A fault.
     */
    public static Fault lostAnswers(int count) {
        return new Fault(false, Duration.ZERO, count, false);
    }

    /**
     * Reads a fault.
     *
     * @param node The node; what it does not name is no fault.
     * @return A fault.
     */
    static Fault of(JsonNode node) {
        return new Fault(
                node.path("down").asBoolean(),
                Duration.ofMillis(node.path("slow_ms").asLong()),
                node.path("lost_answers").asInt(),
                node.path("rate_limited").asBoolean());
    }

    /**
     * Returns this fault after one call.
     *
     * @return A fault with one lost answer less, unless answers are always lost.
     */
    Fault next() {
        return lostAnswers > 0 ? new Fault(down, slow, lostAnswers - 1, rateLimited) : this;
    }

    /**
     * Returns whether the answer to a call is lost.
     *
     * @return Whether the answer to a call is lost.
     */
    boolean losesAnswer() {
        return lostAnswers != 0;
    }
}
