/** HTTP endpoints with which operators read and change the configuration. */
@NullMarked
package org.tanagermoor.control;

import org.jspecify.annotations.NullMarked;
