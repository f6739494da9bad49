/** The parts of which the prompts of requests are composed. */
@NullMarked
package org.tanagermoor.policy.prompt;

import org.jspecify.annotations.NullMarked;
