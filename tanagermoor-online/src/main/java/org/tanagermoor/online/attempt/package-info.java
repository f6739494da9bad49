/** Attempts of requests on targets, with retries that a budget limits. */
@NullMarked
package org.tanagermoor.online.attempt;

import org.jspecify.annotations.NullMarked;
