/** Takes an instance out of service without interrupting requests. */
@NullMarked
package org.tanagermoor.online.stop;

import org.jspecify.annotations.NullMarked;
