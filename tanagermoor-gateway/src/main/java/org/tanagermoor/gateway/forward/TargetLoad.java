package org.tanagermoor.gateway.forward;

/**
 * The load of a target, as the target states it in the head of an answer.
 *
 * @param running The number of requests that it runs.
 * @param waiting The number of requests that wait at it.
 * @param slots The number of requests that it can run at once.
 * @param workPercent How long work takes on its machine at that moment, where 100 is usual; 0 if it does not say.
 */
public record TargetLoad(int running, int waiting, int slots, int workPercent) {}
