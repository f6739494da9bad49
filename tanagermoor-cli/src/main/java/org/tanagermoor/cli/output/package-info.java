/** Formats what the tool prints. */
@NullMarked
package org.tanagermoor.cli.output;

import org.jspecify.annotations.NullMarked;
