/** Selects the instances to which callers are sent. */
@NullMarked
package org.tanagermoor.policy.directory;

import org.jspecify.annotations.NullMarked;
