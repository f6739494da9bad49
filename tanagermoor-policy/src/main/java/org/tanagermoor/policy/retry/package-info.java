/** Decides whether a failed request is retried. */
@NullMarked
package org.tanagermoor.policy.retry;

import org.jspecify.annotations.NullMarked;
