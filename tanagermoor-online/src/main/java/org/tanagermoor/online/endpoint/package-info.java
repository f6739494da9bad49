/** The HTTP endpoints for callers. */
@NullMarked
package org.tanagermoor.online.endpoint;

import org.jspecify.annotations.NullMarked;
