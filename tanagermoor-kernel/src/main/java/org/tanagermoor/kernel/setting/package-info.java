/** Settings from flags, environment variables and a file, all of which are validated when a process starts. */
@NullMarked
package org.tanagermoor.kernel.setting;

import org.jspecify.annotations.NullMarked;
