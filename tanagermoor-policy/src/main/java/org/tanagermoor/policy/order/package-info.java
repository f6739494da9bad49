/** Orders, that is, commands to model engines: their types, their fencing numbers, and the choice of the next one. */
@NullMarked
package org.tanagermoor.policy.order;

import org.jspecify.annotations.NullMarked;
