/** The storage of the configuration in the platform's table service and object store. */
@NullMarked
package org.tanagermoor.membership.store;

import org.jspecify.annotations.NullMarked;
