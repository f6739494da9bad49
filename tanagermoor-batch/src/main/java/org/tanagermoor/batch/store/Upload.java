package org.tanagermoor.batch.store;

/**
 * An upload whose job is not accepted yet.
 *
 * @param key The key of the job.
 * @param id The identity of the upload, which is unique.
 * @param startedMillis The wall-clock time of its start in milliseconds.
 * @param version The version of its row. A sweep that deletes the row ends the upload.
 */
public record Upload(JobKey key, String id, long startedMillis, long version) {}
