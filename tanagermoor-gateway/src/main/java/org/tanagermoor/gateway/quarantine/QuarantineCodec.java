package org.tanagermoor.gateway.quarantine;

import java.util.concurrent.TimeUnit;
import org.tanagermoor.gateway.proto.QuarantinedPart;
import org.tanagermoor.policy.quarantine.QuarantineEntry;

/** Converts records of parts to and from messages and rows. */
final class QuarantineCodec {

    private QuarantineCodec() {}

    /** Writes a record at the given monotonic time in nanoseconds. */
    static QuarantinedPart toMessage(QuarantineEntry entry, long now) {
        return QuarantinedPart.newBuilder()
                .setPart(entry.part())
                .setRevision(entry.revision())
                .setHeld(entry.held())
                .setTrials(entry.trials())
                .setRemainingMillis(TimeUnit.NANOSECONDS.toMillis(entry.until() - now))
                .setEvidence(entry.evidence())
                .build();
    }

    /**
     * Reads a record.
     *
     * @param message The message.
     * @param ageMillis The time since it was written, in milliseconds.
     * @param now The current monotonic time in nanoseconds.
     */
    static QuarantineEntry fromMessage(QuarantinedPart message, long ageMillis, long now) {
        long remaining = message.getRemainingMillis() - Math.max(0, ageMillis);
        return new QuarantineEntry(
                message.getPart(),
                message.getRevision(),
                message.getHeld(),
                message.getTrials(),
                now + TimeUnit.MILLISECONDS.toNanos(remaining),
                now,
                message.getEvidence());
    }
}
