package org.tanagermoor.policy.target;

import java.util.List;

/**
 * A message to a steward that reports on several targets and requests new grants for them.
 *
 * @param sequence The sequence number of the message, which grows with each message of the instance.
 * @param reports The reports, at most one for each target.
 */
public record PermitReports(long sequence, List<PermitReport> reports) {}
