/** Numbered types of events, the log that records events and the outputs to which they are written. */
@NullMarked
package org.tanagermoor.kernel.event;

import org.jspecify.annotations.NullMarked;
