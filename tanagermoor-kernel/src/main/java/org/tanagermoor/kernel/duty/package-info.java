/** Duties, which are single-threaded event loops, and the bounded queues through which they exchange messages. */
@NullMarked
package org.tanagermoor.kernel.duty;

import org.jspecify.annotations.NullMarked;
