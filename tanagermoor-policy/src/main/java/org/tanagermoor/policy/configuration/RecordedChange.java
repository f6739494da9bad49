package org.tanagermoor.policy.configuration;

/**
 * A change as it is recorded in the store.
 *
 * @param version The version of the configuration that the change made.
 * @param changeId The identity of the change.
 * @param accepted The largest version that the instance that wrote the change knew to be accepted.
 * @param change The change itself.
 */
public record RecordedChange(long version, String changeId, long accepted, Change change) {}
