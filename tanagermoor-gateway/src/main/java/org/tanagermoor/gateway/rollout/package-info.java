/** Moves the traffic of services to other versions as operators order it, and keeps the state of it in the store. */
@NullMarked
package org.tanagermoor.gateway.rollout;

import org.jspecify.annotations.NullMarked;
