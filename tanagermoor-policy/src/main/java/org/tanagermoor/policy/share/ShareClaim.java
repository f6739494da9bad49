package org.tanagermoor.policy.share;

import java.util.Set;

/**
 * A claim of a dispatcher in the control store.
 *
 * @param claimant The name of the dispatcher.
 * @param version The version of its row, which changes with each claim.
 * @param names The names of the instances whose shares it has, including its own if it uses that.
 */
public record ShareClaim(String claimant, long version, Set<String> names) {}
