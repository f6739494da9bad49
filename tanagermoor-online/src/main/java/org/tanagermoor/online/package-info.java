/** Serves online requests of callers. */
@NullMarked
package org.tanagermoor.online;

import org.jspecify.annotations.NullMarked;
