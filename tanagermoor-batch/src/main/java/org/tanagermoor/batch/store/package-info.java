/** The rows and objects in which batch jobs are stored on the platform. */
@NullMarked
package org.tanagermoor.batch.store;

import org.jspecify.annotations.NullMarked;
