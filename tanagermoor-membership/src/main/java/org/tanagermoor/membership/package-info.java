/** The membership of this instance: its standing and the configuration that it has adopted. */
@NullMarked
package org.tanagermoor.membership;

import org.jspecify.annotations.NullMarked;
