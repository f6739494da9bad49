/** The link between instances: requests and answers over TCP, matched by the ID of the exchange. */
@NullMarked
package org.tanagermoor.wire.link;

import org.jspecify.annotations.NullMarked;
