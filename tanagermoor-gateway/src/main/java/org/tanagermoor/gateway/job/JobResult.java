package org.tanagermoor.gateway.job;

/**
 * The result of an item of a job.
 *
 * @param item The identity of the item.
 * @param completed {@code true} if the item was completed, {@code false} if it was abandoned.
 * @param output The data of all events in order, separated by line feeds; empty if the item was abandoned.
 */
public record JobResult(String item, boolean completed, String output) {}
