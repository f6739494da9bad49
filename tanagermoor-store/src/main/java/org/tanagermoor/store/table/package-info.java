/** Access to the platform's transactional table service, over HTTP or in memory. */
@NullMarked
package org.tanagermoor.store.table;

import org.jspecify.annotations.NullMarked;
