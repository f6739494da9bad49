/** The declared fleet: its parts, and its comparison with the configuration in force. */
@NullMarked
package org.tanagermoor.cli.fleet;

import org.jspecify.annotations.NullMarked;
