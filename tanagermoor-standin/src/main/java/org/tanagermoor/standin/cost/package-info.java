/** Measures what instances spend on control while they serve nothing or little. */
@NullMarked
package org.tanagermoor.standin.cost;

import org.jspecify.annotations.NullMarked;
