/** The main program of an instance: its settings, logging, signals and lifecycle. */
@NullMarked
package org.tanagermoor.kernel.daemon;

import org.jspecify.annotations.NullMarked;
