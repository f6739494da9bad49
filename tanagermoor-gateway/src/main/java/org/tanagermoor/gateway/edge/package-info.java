/** Accepts the connections of callers, and answers their requests. */
@NullMarked
package org.tanagermoor.gateway.edge;

import org.jspecify.annotations.NullMarked;
