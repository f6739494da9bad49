package org.tanagermoor.gateway.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.gateway.proto.CrashReport;
import org.tanagermoor.policy.prompt.Prompt;
import org.tanagermoor.policy.quarantine.Crash;

/**
 * The recent runs of this instance that broke off. They are reported to
 * each new dispatcher, so that what the one before it had learnt does not end with it. Not thread-safe.
 */
final class CrashReports {

    /** The maximum number of runs; the oldest is dropped. */
    private static final int MAX_RUNS = 64;

    /** The age at which a run is dropped, in nanoseconds. */
    private static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(10);

    private final List<Entry> entries = new ArrayList<>();

    private CrashReports() {}

    /** Returns reports without any run. */
    static CrashReports of() {
        return new CrashReports();
    }

    /** Adds a run that broke off, with the number of its permit. */
    void add(long permit, Crash crash) {
        entries.add(new Entry(permit, crash));
        if (entries.size() > MAX_RUNS) {
            entries.remove(0);
        }
    }

    /** Acquits the marks of an answered request. */
    void answered(List<String> marks) {
        if (!entries.isEmpty()) {
            entries.replaceAll(entry -> entry.without(marks));
            entries.removeIf(entry -> entry.crash.prompt().shared().isEmpty()
                    && entry.crash.prompt().content().isEmpty());
        }
    }

    /** Returns the messages that report the runs, at the given monotonic time in nanoseconds. */
    List<CrashReport> messages(long now) {
        entries.removeIf(entry -> now - entry.crash.brokeAt() > RETENTION_NANOS);
        return entries.stream()
                .map(entry -> DispatchCodec.toMessage(entry.permit, entry.crash, now))
                .toList();
    }

    /** Returns the runs in the order in which they broke off. */
    List<Crash> crashes() {
        return entries.stream().map(Entry::crash).toList();
    }

    /** A run that broke off, with the number of its permit. */
    private record Entry(long permit, Crash crash) {

        private Entry without(List<String> marks) {
            Prompt prompt = crash.prompt().withoutMarks(marks);
            return new Entry(
                    permit,
                    new Crash(crash.run(), crash.holder(), crash.target(), prompt, crash.sentAt(), crash.brokeAt()));
        }
    }
}
