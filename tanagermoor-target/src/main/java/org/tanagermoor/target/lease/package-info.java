/** Permits to use targets, lent so that the instances together use no more than the capacity of each target. */
@NullMarked
package org.tanagermoor.target.lease;

import org.jspecify.annotations.NullMarked;
