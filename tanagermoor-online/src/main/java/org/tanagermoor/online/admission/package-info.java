/** Decides whether a caller's request may run, and tracks the requests that run. */
@NullMarked
package org.tanagermoor.online.admission;

import org.jspecify.annotations.NullMarked;
