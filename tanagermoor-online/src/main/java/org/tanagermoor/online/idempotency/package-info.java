/** Runs requests with an idempotency key at most once over all instances, by records in a table. */
@NullMarked
package org.tanagermoor.online.idempotency;

import org.jspecify.annotations.NullMarked;
