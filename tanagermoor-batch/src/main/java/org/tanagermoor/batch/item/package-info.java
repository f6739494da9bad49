/** The items of batch jobs in the format in which callers send them, one JSON object for each line. */
@NullMarked
package org.tanagermoor.batch.item;

import org.jspecify.annotations.NullMarked;
