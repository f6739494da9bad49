/** Clients that send requests to targets and decode their answers. */
@NullMarked
package org.tanagermoor.target.client;

import org.jspecify.annotations.NullMarked;
