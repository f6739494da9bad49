/**
 * Accepts batch jobs, runs their items at targets, and records and returns the results. The instance that owns a job
 * asks the dispatcher for a place for each item, which is room for one request at a target. The dispatcher grants
 * places as permits, and recalls the place of an item if an online request needs it.
 */
@NullMarked
package org.tanagermoor.gateway.job;

import org.jspecify.annotations.NullMarked;
