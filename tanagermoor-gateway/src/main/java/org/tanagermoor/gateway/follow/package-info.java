/** Tables of the control store that every instance follows, directly or through a peer. */
@NullMarked
package org.tanagermoor.gateway.follow;

import org.jspecify.annotations.NullMarked;
