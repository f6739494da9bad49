/** Decisions about rates that all instances together must not exceed: stewards lend shares of budgets to the instances. */
@NullMarked
package org.tanagermoor.policy.budget;

import org.jspecify.annotations.NullMarked;
