/**
 * The dispatcher, which grants requests places at targets or refuses them, and the messages by which instances ask it.
 */
@NullMarked
package org.tanagermoor.gateway.dispatch;

import org.jspecify.annotations.NullMarked;
