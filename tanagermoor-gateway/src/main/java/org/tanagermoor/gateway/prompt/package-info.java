/** The parts of prompts in messages between instances and in stored jobs. */
@NullMarked
package org.tanagermoor.gateway.prompt;

import org.jspecify.annotations.NullMarked;
