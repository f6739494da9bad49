/** Access to the platform's object store, over HTTP or in memory. */
@NullMarked
package org.tanagermoor.store.object;

import org.jspecify.annotations.NullMarked;
