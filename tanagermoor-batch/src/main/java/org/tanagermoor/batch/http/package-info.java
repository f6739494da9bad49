/** The HTTP endpoints by which callers send, watch and cancel batch jobs and read their results. */
@NullMarked
package org.tanagermoor.batch.http;

import org.jspecify.annotations.NullMarked;
