package org.tanagermoor.batch.store;

import org.tanagermoor.store.table.RowKey;

/** The names of the rows and objects of batch jobs. */
final class StorageNames {

    /** The table of jobs, by team and key. */
    static final String JOBS = "batch-job";

    /** The table of uploads that are not accepted yet, ordered by their start. */
    static final String UPLOADS = "batch-upload";

    /** The index of active jobs. */
    static final String ACTIVE = "batch-active";

    /** The index of ended jobs, ordered by the time at which they ended. */
    static final String ENDED = "batch-ended";

    /** The table of the recorded progress, in numbered parts. */
    static final String PROGRESS = "batch-progress";

    /** The table of started items that must not be repeated. */
    static final String STARTS = "batch-start";

    private StorageNames() {}

    static RowKey job(JobKey key) {
        return RowKey.of(JOBS, key.team() + "/" + key.key());
    }

    /**
     * Returns the row of an upload, so that the rows are ordered by start.
     *
     * @param startedMillis The wall-clock time of its start in milliseconds.
     * @param upload The identity of the upload.
     */
    static RowKey upload(long startedMillis, String upload) {
        return RowKey.of(UPLOADS, ordered(startedMillis) + "-" + upload);
    }

    /** Returns the row of a job in the index of active jobs. */
    static RowKey active(JobKey key) {
        return RowKey.of(ACTIVE, key.id());
    }

    /**
     * Returns the row of a job in the index of ended jobs.
     *
     * @param endedMillis The wall-clock time in milliseconds at which the job ended.
     */
    static RowKey ended(long endedMillis, JobKey key) {
        return RowKey.of(ENDED, ordered(endedMillis) + "-" + key.id());
    }

    /**
     * Returns the prefix of the rows of one upload of a job.
     *
     * @param upload The identity of the upload.
     */
    static String rows(JobKey key, String upload) {
        return key.id() + "/" + upload + "/";
    }

    /**
     * Returns the row of a part of the progress of a job.
     *
     * @param upload The identity of the upload.
     * @param part The number of the part.
     */
    static RowKey progress(JobKey key, String upload, int part) {
        return RowKey.of(PROGRESS, rows(key, upload) + String.format("%08d", part));
    }

    /**
     * Returns the row that marks the started items of a cell.
     *
     * @param upload The identity of the upload.
     * @param cell The index of the first item of the cell.
     */
    static RowKey start(JobKey key, String upload, int cell) {
        return RowKey.of(STARTS, rows(key, upload) + String.format("%08d", cell));
    }

    /**
     * Returns the prefix of the names of the objects of one upload of a job.
     *
     * @param upload The identity of the upload.
     */
    static String objects(JobKey key, String upload) {
        return "batch/" + key.id() + "/" + upload + "/";
    }

    /**
     * Formats a time so that the order of the texts is that of the times.
     *
     * @param millis The time in milliseconds, not negative.
     */
    static String ordered(long millis) {
        return String.format("%015d", millis);
    }
}
