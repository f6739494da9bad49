/** Explains from logs what became of a request. */
@NullMarked
package org.tanagermoor.cli.explain;

import org.jspecify.annotations.NullMarked;
