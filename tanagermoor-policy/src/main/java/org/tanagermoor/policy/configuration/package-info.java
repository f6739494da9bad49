/** The configuration that operators change at run time, the changes to it, and the rules by which they apply. */
@NullMarked
package org.tanagermoor.policy.configuration;

import org.jspecify.annotations.NullMarked;
