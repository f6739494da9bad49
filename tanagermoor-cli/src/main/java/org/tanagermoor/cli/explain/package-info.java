/** Explains the outcome of a request, an item or a job from logs. */
@NullMarked
package org.tanagermoor.cli.explain;

import org.jspecify.annotations.NullMarked;
