package org.tanagermoor.policy.quarantine;

import org.tanagermoor.policy.prompt.Prompt;

/**
 * A run of a request that broke off when its target had just begun to answer it. The crash of a target breaks off all
 * its runs; only those that had just begun may be its cause.
 *
 * @param run The identity of the run, unique in the fleet.
 * @param holder The instance that sent the request.
 * @param target The identity of the target.
 * @param prompt The parts of the prompt.
 * @param sentAt The monotonic time at which the request was sent, in nanoseconds.
 * @param brokeAt The monotonic time at which the run was known to have broken off, in nanoseconds.
 */
public record Crash(String run, String holder, String target, Prompt prompt, long sentAt, long brokeAt) {}
