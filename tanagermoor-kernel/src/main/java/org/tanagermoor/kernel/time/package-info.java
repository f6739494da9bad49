/** Sources of time, and the hybrid logical clock that orders events across processes. */
@NullMarked
package org.tanagermoor.kernel.time;

import org.jspecify.annotations.NullMarked;
