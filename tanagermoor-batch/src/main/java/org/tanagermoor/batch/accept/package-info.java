/** Accepts jobs: streams the items into objects and creates the job with one conditional write. */
@NullMarked
package org.tanagermoor.batch.accept;

import org.jspecify.annotations.NullMarked;
