/** Decides how the traffic of a service moves to targets of another version, and whether that version is bad. */
@NullMarked
package org.tanagermoor.policy.rollout;

import org.jspecify.annotations.NullMarked;
