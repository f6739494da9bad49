/** Endpoints with which operators read the status, events and metrics of an instance. */
@NullMarked
package org.tanagermoor.daemon.status;

import org.jspecify.annotations.NullMarked;
