/** The messages and inputs by which members exchange versions, ages of answers, and changes. */
@NullMarked
package org.tanagermoor.membership.gossip;

import org.jspecify.annotations.NullMarked;
