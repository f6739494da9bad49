/** Decides which parts of prompts are held back because they crash targets. */
@NullMarked
package org.tanagermoor.policy.quarantine;

import org.jspecify.annotations.NullMarked;
