/** The duty with which the steward of a target gives orders to its model engine. */
@NullMarked
package org.tanagermoor.target.order;

import org.jspecify.annotations.NullMarked;
