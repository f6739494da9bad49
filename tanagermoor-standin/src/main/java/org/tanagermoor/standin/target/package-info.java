/** A stand-in for a target: a model engine and plain services in one HTTP process, with faults that can be switched. */
@NullMarked
package org.tanagermoor.standin.target;

import org.jspecify.annotations.NullMarked;
