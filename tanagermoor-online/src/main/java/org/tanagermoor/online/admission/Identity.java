package org.tanagermoor.online.admission;

import java.util.Optional;
import org.tanagermoor.policy.configuration.Team;

/**
 * The caller of a request.
 *
 * @param key The SHA-256 of the key; empty if the request has none.
 * @param team The team to which the key belongs; empty if the key is unknown or withdrawn.
 * @param deadline The monotonic time in nanoseconds at which the caller stops waiting.
 */
public record Identity(Optional<String> key, Optional<Team> team, long deadline) {}
