/** Deletes the data of uploads that were not accepted and of jobs past their retention. */
@NullMarked
package org.tanagermoor.batch.sweep;

import org.jspecify.annotations.NullMarked;
