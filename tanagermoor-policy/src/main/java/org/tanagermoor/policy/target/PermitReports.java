package org.tanagermoor.policy.target;

import java.util.List;

/**
 * A message to a steward about many targets.
 *
 * @param sequence The number of the message, which grows with each message of the instance.
 * @param reports The reports.
 */
public record PermitReports(long sequence, List<PermitReport> reports) {}
