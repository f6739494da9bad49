/** Typed failures that carry the step and the peer at which they occurred. */
@NullMarked
package org.tanagermoor.kernel.failure;

import org.jspecify.annotations.NullMarked;
