/** Decisions about targets: which target a request uses, and how many requests each instance may run on it. */
@NullMarked
package org.tanagermoor.policy.target;

import org.jspecify.annotations.NullMarked;
