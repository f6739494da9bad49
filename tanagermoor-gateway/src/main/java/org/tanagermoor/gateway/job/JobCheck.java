package org.tanagermoor.gateway.job;

import io.netty.buffer.ByteBufUtil;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.tanagermoor.gateway.proto.JobItem;

/** Checks whether the identities of a submitted job and its items can be stored. */
public final class JobCheck {

    /**
     * Maximum size of an identity in UTF-8, in bytes: keys of the store have at most 200 bytes, and some consist of the
     * identities of a job and an item.
     */
    static final int MAX_ID_BYTES = 96;

    private JobCheck() {}

    /**
     * Returns why a job cannot be accepted, for its caller; empty if it can.
     *
     * @param job The identity of the job.
     * @param items The items of the job.
     */
    public static Optional<String> problem(String job, List<JobItem> items) {
        Set<String> seen = new HashSet<>();
        for (JobItem item : items) {
            if (tooLong(item.getId())) {
                return Optional.of("the identity of an item is longer than " + MAX_ID_BYTES + " bytes");
            }
            if (!seen.add(item.getId())) {
                return Optional.of("two items have the identity " + item.getId());
            }
        }
        if (job.isEmpty()) {
            return Optional.of("the job has no identity");
        }
        if (tooLong(job)) {
            return Optional.of("the identity of the job is longer than " + MAX_ID_BYTES + " bytes");
        }
        return job.indexOf('/') < 0 ? Optional.empty() : Optional.of("the identity of the job contains a slash");
    }

    private static boolean tooLong(String id) {
        return ByteBufUtil.utf8Bytes(id) > MAX_ID_BYTES;
    }
}
