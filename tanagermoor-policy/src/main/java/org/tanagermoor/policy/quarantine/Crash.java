package org.tanagermoor.policy.quarantine;

import org.tanagermoor.policy.prompt.Prompt;

/**
 * A run of a request that broke off. The crash of a target breaks off all its runs. Parts of a prompt may be the cause
 * only if the run had just begun, the content of the request at any time.
 *
 * @param run The identity of the run, unique in the fleet.
 * @param holder The instance that sent the request.
 * @param target The identity of the target.
 * @param prompt The prompt with the marks that may be the cause.
 * @param sentAt The monotonic time at which the request was sent, in nanoseconds.
 * @param brokeAt The monotonic time at which the run was known to have broken off, in nanoseconds.
 */
public record Crash(String run, String holder, String target, Prompt prompt, long sentAt, long brokeAt) {}
