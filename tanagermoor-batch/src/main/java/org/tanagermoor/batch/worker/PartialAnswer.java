package org.tanagermoor.batch.worker;

import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.target.client.StreamPosition;

/**
 * The part of an answer that a model engine produced before its stream was cancelled. A later run can resume from it.
 *
 * @param target The target that produced it, the only one that can resume the stream.
 * @param exchange The identity of the exchange, by which the target finds the stream.
 * @param position The position from which to resume the stream.
 * @param text The text of all tokens before that position.
 */
record PartialAnswer(TargetId target, String exchange, StreamPosition position, String text) {}
