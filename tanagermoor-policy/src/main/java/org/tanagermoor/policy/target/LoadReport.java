package org.tanagermoor.policy.target;

/**
 * The load that a target reports.
 *
 * @param startMark The text that the target chooses each time it starts, so that a different one shows a restart, or
 *     empty text if it reports none.
 * @param running The number of running requests.
 * @param waiting The number of requests that wait within the target.
 * @param capacity The number of requests that it can run at once, or 0 if it does not report it.
 */
public record LoadReport(String startMark, int running, int waiting, int capacity) {}
