/** The conversion of changes and of the configuration to and from their protobuf forms. */
@NullMarked
package org.tanagermoor.membership.codec;

import org.jspecify.annotations.NullMarked;
