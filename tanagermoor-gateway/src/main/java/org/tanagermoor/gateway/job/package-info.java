/** Accepts batch jobs, runs their items at targets, and records and returns the results. */
@NullMarked
package org.tanagermoor.gateway.job;

import org.jspecify.annotations.NullMarked;
