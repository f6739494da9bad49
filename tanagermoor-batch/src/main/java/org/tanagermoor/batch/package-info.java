/**
 * Batch jobs: a job is stored durably when it is accepted, all instances run its items, and the result of each item is
 * recorded once.
 */
@NullMarked
package org.tanagermoor.batch;

import org.jspecify.annotations.NullMarked;
