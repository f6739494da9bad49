/** The steward of a job: takes the job over, lends its chunks and records their progress. */
@NullMarked
package org.tanagermoor.batch.steward;

import org.jspecify.annotations.NullMarked;
