/** Limits of rates over all instances together, enforced by stewards that lend shares of budgets to the instances. */
@NullMarked
package org.tanagermoor.policy.budget;

import org.jspecify.annotations.NullMarked;
