/** A stand-in for a network link: a TCP relay that can cut, freeze and delay. */
@NullMarked
package org.tanagermoor.standin.link;

import org.jspecify.annotations.NullMarked;
