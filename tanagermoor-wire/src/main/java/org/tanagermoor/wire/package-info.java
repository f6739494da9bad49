/** The plug-in that runs the link to other instances. */
@NullMarked
package org.tanagermoor.wire;

import org.jspecify.annotations.NullMarked;
