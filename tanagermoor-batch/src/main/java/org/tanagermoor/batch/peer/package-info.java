/** The requests that instances send each other about batch jobs. */
@NullMarked
package org.tanagermoor.batch.peer;

import org.jspecify.annotations.NullMarked;
