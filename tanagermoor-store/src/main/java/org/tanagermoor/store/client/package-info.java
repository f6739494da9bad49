/** The HTTP client for the platform, with its connection pool, deadlines and retries. */
@NullMarked
package org.tanagermoor.store.client;

import org.jspecify.annotations.NullMarked;
