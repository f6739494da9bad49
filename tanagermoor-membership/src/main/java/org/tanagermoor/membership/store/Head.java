package org.tanagermoor.membership.store;

/**
 * The head row as it was read: the row that names the latest version of the configuration.
 *
 * @param rowVersion The version of the row, for conditions; 0 if the row is absent.
 * @param version The version of the configuration; 0 before the first change.
 */
public record Head(long rowVersion, long version) {

    /** The head before the first change. */
    public static final Head ABSENT = new Head(0, 0);
}
