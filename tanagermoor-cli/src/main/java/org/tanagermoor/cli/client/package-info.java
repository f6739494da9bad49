/** The HTTP client of the tool for calls to instances. */
@NullMarked
package org.tanagermoor.cli.client;

import org.jspecify.annotations.NullMarked;
