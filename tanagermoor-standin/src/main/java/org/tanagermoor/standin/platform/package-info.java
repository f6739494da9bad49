/** A stand-in for the platform: a separate process with faults that can be switched over HTTP. */
@NullMarked
package org.tanagermoor.standin.platform;

import org.jspecify.annotations.NullMarked;
