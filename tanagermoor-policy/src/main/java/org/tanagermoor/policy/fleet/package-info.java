/** Identities of instances, failure domains, teams, services and targets, and the membership view with its hashing. */
@NullMarked
package org.tanagermoor.policy.fleet;

import org.jspecify.annotations.NullMarked;
