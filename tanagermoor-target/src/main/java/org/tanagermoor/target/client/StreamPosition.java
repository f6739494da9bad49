package org.tanagermoor.target.client;

/**
 * The position up to which a stream of a model engine was received.
 *
 * @param startMark The start mark of the target when it started the stream.
 * @param next The number of the next token.
 */
public record StreamPosition(String startMark, int next) {}
