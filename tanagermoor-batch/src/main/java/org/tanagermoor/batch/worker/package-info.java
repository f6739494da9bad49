/**
 * The worker: requests chunks of items from the stewards of jobs, runs the items on targets and reports their outcomes.
 */
@NullMarked
package org.tanagermoor.batch.worker;

import org.jspecify.annotations.NullMarked;
