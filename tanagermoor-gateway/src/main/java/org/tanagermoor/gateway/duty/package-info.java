/** Recurring work of an instance on its event loop. */
@NullMarked
package org.tanagermoor.gateway.duty;

import org.jspecify.annotations.NullMarked;
