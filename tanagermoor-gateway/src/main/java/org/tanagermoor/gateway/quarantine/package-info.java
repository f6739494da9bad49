/** Holds back parts of prompts that crash targets, on all instances of the fleet. */
@NullMarked
package org.tanagermoor.gateway.quarantine;

import org.jspecify.annotations.NullMarked;
