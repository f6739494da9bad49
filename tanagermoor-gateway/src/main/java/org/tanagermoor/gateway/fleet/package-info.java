/** The configuration of the operator, and the entries of the targets. */
@NullMarked
package org.tanagermoor.gateway.fleet;

import org.jspecify.annotations.NullMarked;
