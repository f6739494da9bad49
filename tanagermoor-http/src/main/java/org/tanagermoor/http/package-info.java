/** The HTTP server of an instance for callers and operators. Plug-ins register their endpoints with it. */
@NullMarked
package org.tanagermoor.http;

import org.jspecify.annotations.NullMarked;
