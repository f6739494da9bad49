/** Names of instances, failure domains, teams, services and targets; the membership view and rendezvous hashing over it. */
@NullMarked
package org.tanagermoor.policy.fleet;

import org.jspecify.annotations.NullMarked;
