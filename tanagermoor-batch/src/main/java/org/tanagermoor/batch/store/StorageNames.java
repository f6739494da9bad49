package org.tanagermoor.batch.store;

import org.tanagermoor.store.table.RowKey;

/** The names of the rows and objects of batch jobs. */
final class StorageNames {

    /** The table of jobs, by team and key. */
    static final String JOBS = "batch-job";

    /** The table of uploads that are not accepted yet. */
    static final String UPLOADS = "batch-upload";

    /** The table of active jobs. */
    static final String ACTIVE = "batch-active";

    /** The table of ended jobs, ordered by the time of their end. */
    static final String ENDED = "batch-ended";

    /** The table of progress. */
    static final String PROGRESS = "batch-progress";

    /** The table of items that may not be repeated and were started. */
    static final String STARTS = "batch-start";

    /** There are no instances. */
    private StorageNames() {}

    /**
     * Returns the row of a job.
     *
     * @param key The key of the job.
     * @return The row.
     */
    static RowKey job(JobKey key) {
        return RowKey.of(JOBS, key.team() + "/" + key.key());
    }

    /**
     * Returns the row of an upload.
     *
     * @param startedMillis The wall-clock time of its begin in milliseconds.
     * @param upload The identity of the upload.
     * @return The row.
     */
    static RowKey upload(long startedMillis, String upload) {
        return RowKey.of(UPLOADS, ordered(startedMillis) + "-" + upload);
    }

    /**
     * Returns the row of a job in the index of active jobs.
     *
     * @param key The key of the job.
     * @return The row.
     */
    static RowKey active(JobKey key) {
        return RowKey.of(ACTIVE, key.id());
    }

    /**
     * Returns the row of a job in the index of ended jobs.
     *
     * @param endedMillis The wall-clock time of the end in milliseconds.
     * @param key The key of the job.
     * @return The row.
     */
    static RowKey ended(long endedMillis, JobKey key) {
        return RowKey.of(ENDED, ordered(endedMillis) + "-" + key.id());
    }

    /**
     * Returns the prefix of the rows of one upload of a job.
     *
     * @param key The key of the job.
     * @param upload The identity of the upload.
     * @return The prefix.
     */
    static String rows(JobKey key, String upload) {
        return key.id() + "/" + upload + "/";
    }

    /**
     * Returns a row of the progress of a job.
     *
     * @param key The key of the job.
     * @param upload The identity of the upload.
     * @param part The number of the part.
     * @return The row.
     */
    static RowKey progress(JobKey key, String upload, int part) {
        return RowKey.of(PROGRESS, rows(key, upload) + String.format("%08d", part));
    }

    /**
     * Returns the row of the started items of a cell.
     *
     * @param key The key of the job.
     * @param upload The identity of the upload.
     * @param cell The index of the first item of the cell.
     * @return The row.
     */
    static RowKey start(JobKey key, String upload, int cell) {
        return RowKey.of(STARTS, rows(key, upload) + String.format("%08d", cell));
    }

    /**
     * Returns the prefix of the objects of one upload of a job.
     *
     * @param key The key of the job.
     * @param upload The identity of the upload.
     * @return The prefix.
     */
    static String objects(JobKey key, String upload) {
        return "batch/" + key.id() + "/" + upload + "/";
    }

    /**
     * Returns a time as a text whose order is that of the times.
     *
     * @param millis The time in milliseconds, not negative.
     * @return The text.
     */
    static String ordered(long millis) {
        return String.format("%015d", millis);
    }
}
