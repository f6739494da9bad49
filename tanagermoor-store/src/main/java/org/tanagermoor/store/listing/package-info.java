/** The platform's list of live and leaving instances, which may be out of date. */
@NullMarked
package org.tanagermoor.store.listing;

import org.jspecify.annotations.NullMarked;
