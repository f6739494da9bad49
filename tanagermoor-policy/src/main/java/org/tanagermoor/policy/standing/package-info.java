/** Decides whether an instance may act on its configuration, and when a recorded change is accepted by the fleet. */
@NullMarked
package org.tanagermoor.policy.standing;

import org.jspecify.annotations.NullMarked;
