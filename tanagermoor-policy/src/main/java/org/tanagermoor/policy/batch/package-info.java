/** Decisions of the steward of a batch job: which items are lent, lent again, split, abandoned and recorded. */
@NullMarked
package org.tanagermoor.policy.batch;

import org.jspecify.annotations.NullMarked;
