/** The plug-in through which other plug-ins use the platform: its tables, objects and instance list. */
@NullMarked
package org.tanagermoor.store;

import org.jspecify.annotations.NullMarked;
