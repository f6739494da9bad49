/** The commands of the tool. */
@NullMarked
package org.tanagermoor.cli.command;

import org.jspecify.annotations.NullMarked;
