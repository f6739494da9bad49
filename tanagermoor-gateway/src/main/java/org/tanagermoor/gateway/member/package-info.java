/** Tracks which instances run, by heartbeats that the instances exchange. */
@NullMarked
package org.tanagermoor.gateway.member;

import org.jspecify.annotations.NullMarked;
