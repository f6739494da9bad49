/** Instances and stand-ins that a test runs as separate processes. */
@NullMarked
package org.tanagermoor.standin.process;

import org.jspecify.annotations.NullMarked;
