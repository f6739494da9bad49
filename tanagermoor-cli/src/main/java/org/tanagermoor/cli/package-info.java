/** The command-line tool for operators and callers. */
@NullMarked
package org.tanagermoor.cli;

import org.jspecify.annotations.NullMarked;
