/** The interface of plug-ins and the kernel that starts and stops them. */
@NullMarked
package org.tanagermoor.kernel.plugin;

import org.jspecify.annotations.NullMarked;
