/** Targets: leasing permits of their capacity, sending requests to them, and giving orders to model engines. */
@NullMarked
package org.tanagermoor.target;

import org.jspecify.annotations.NullMarked;
