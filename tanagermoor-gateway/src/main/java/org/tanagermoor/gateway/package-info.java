/** A gateway between callers and a fleet of targets whose configuration is kept by an external control store. */
@NullMarked
package org.tanagermoor.gateway;

import org.jspecify.annotations.NullMarked;
