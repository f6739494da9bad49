/** Sends requests to targets over pooled connections. */
@NullMarked
package org.tanagermoor.gateway.forward;

import org.jspecify.annotations.NullMarked;
