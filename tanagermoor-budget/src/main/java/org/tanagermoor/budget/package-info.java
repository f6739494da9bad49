/** Rate budgets that are shared by all instances, so that together they do not exceed the limits. */
@NullMarked
package org.tanagermoor.budget;

import org.jspecify.annotations.NullMarked;
