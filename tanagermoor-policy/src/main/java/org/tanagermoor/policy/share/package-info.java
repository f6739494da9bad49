/**
 * Decides which share of the rates of all teams an instance may admit. The shares of all instances add up to the whole,
 * whichever of them reach each other.
 */
@NullMarked
package org.tanagermoor.policy.share;

import org.jspecify.annotations.NullMarked;
