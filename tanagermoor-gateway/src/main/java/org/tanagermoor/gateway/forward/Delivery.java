package org.tanagermoor.gateway.forward;

/**
 * How an answer was delivered, as far as its own bytes do not tell.
 *
 * @param framed Whether a length or chunks state where the answer ends, rather than the close of the connection.
 * @param reused Whether the connection had carried an earlier request.
 * @param skippedAnswers The number of answers to other requests that were skipped before this one.
 */
public record Delivery(boolean framed, boolean reused, int skippedAnswers) {}
