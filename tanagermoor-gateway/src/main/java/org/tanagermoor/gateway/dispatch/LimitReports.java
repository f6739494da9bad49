package org.tanagermoor.gateway.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.proto.PermitAnswer;
import org.tanagermoor.kernel.event.EventLog;

/**
 * What this instance knows of the request limits of targets, and what of it the dispatcher has to be told: a change at
 * once, an unchanged limit from time to time with other messages, and all to a new dispatcher. Not thread-safe.
 */
final class LimitReports {

    /** The maximum number of targets that are remembered; the one that was heard of least recently is forgotten. */
    private static final int MAX_TARGETS = 1_024;

    /** The minimum time between two reports of an unchanged limit, in nanoseconds. */
    private static final long REFRESH_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The time for which the requests to a target with a limit are remembered, in nanoseconds. */
    private static final long SENT_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** What is known, by the identity of the target. */
    private final Map<String, Known> targets = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        /** {@inheritDoc} */
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Known> eldest) {
            return size() > MAX_TARGETS;
        }
    };

    /** The identities of the targets of which the dispatcher has to be told. */
    private final Set<String> due = new LinkedHashSet<>();

    /** The dispatcher that was told last; empty before the first. */
    private String dispatcher = "";

    private final EventLog events;

    private LimitReports(EventLog events) {
        this.events = events;
    }

    /** Returns the reports of an instance that has heard of no limit. */
    static LimitReports of(EventLog events) {
        return new LimitReports(events);
    }

    /** Returns whether any target is known to name a limit. */
    boolean anyNamed() {
        return targets.values().stream()
                .anyMatch(known -> known.report.perSecond().isPresent());
    }

    /**
     * Records what an answer says.
     *
     * @param stated What the answer says.
     * @return Whether the dispatcher must be told at once.
     */
    boolean observe(LimitReport stated) {
        Known known = targets.get(stated.target());
        if (known == null) {
            if (stated.perSecond().isEmpty()) {
                return false;
            }
            targets.put(stated.target(), new Known(stated));
            due.add(stated.target());
            record(stated, "target");
            return true;
        }
        boolean changed =
                !known.report.sameRun(stated) || !known.report.perSecond().equals(stated.perSecond());
        known.report = stated;
        if (changed || (stated.perSecond().isPresent() && stated.heardAt() - known.toldAt >= REFRESH_NANOS)) {
            due.add(stated.target());
        }
        if (changed) {
            record(stated, "target");
        }
        return changed;
    }

    /**
     * Records that a dispatcher has granted a place, and what it says about the request limit of the target.
     *
     * @param answer The answer of the dispatcher.
     * @param now The current monotonic time in nanoseconds.
     */
    void granted(PermitAnswer answer, long now) {
        if (answer.hasLimit()) {
            told(DispatchCodec.fromMessage(answer.getLimit(), now));
        }
        sent(answer.getTarget(), now);
    }

    /** Records that this instance has learnt of a limit, or of its change or end. */
    private void record(LimitReport limit, String source) {
        events.record(
                GatewayEvent.TARGET_REQUEST_LIMIT_LEARNT,
                "target",
                limit.target(),
                "per-second",
                limit.text(),
                "source",
                source);
    }

    /**
     * Records what the dispatcher has said. It is the state that an answer of the target is compared with.
     *
     * @param told What it has said.
     * @return Whether this instance did not know it.
     */
    boolean told(LimitReport told) {
        Known known = targets.get(told.target());
        if (known != null
                && known.report.sameRun(told)
                && known.report.perSecond().equals(told.perSecond())) {
            return false;
        }
        if (known != null && due.contains(told.target()) && known.report.sameRun(told)) {
            return false;
        }
        if (known != null && known.report.sameRun(told)) {
            known.report = told;
        } else {
            targets.put(told.target(), new Known(told));
        }
        record(told, "dispatcher");
        return true;
    }

    /**
     * Returns what a dispatcher has to be told, and assumes that it is.
     *
     * @param toDispatcher The dispatcher; one that was not told last has to be told all.
     * @param now The current monotonic time in nanoseconds.
     */
    List<LimitReport> take(String toDispatcher, long now) {
        boolean all = !toDispatcher.equals(dispatcher);
        dispatcher = toDispatcher;
        List<LimitReport> result = new ArrayList<>();
        for (String target : all ? List.copyOf(targets.keySet()) : due) {
            Known known = targets.get(target);
            if (known != null) {
                known.toldAt = now;
                result.add(all ? known.report.withSent(known.sentSince(now - SENT_NANOS)) : known.report);
            }
        }
        due.clear();
        return result;
    }

    /**
     * Records that this instance sends a request to a target.
     *
     * @param target The identity of the target.
     * @param now The current monotonic time in nanoseconds.
     */
    void sent(String target, long now) {
        Known known = targets.get(target);
        if (known != null && known.report.perSecond().isPresent()) {
            known.sentSince(now - SENT_NANOS);
            known.sent.addLast(now);
        }
    }

    /** Returns whether a dispatcher has to be told of a change. */
    boolean due() {
        return !due.isEmpty();
    }

    /** Records that reports did not arrive. */
    void lost(Collection<LimitReport> reports) {
        if (reports.stream().anyMatch(report -> !report.sent().isEmpty())) {
            dispatcher = "";
        }
        for (LimitReport report : reports) {
            if (targets.containsKey(report.target())) {
                due.add(report.target());
            }
        }
    }

    /** What is known of a target. */
    private static final class Known {

        private LimitReport report;

        /** The monotonic time in nanoseconds at which the dispatcher was told last. */
        private long toldAt;

        /** The monotonic times in nanoseconds of the recent requests of this instance. */
        private final ArrayDeque<Long> sent = new ArrayDeque<>();

        private Known(LimitReport report) {
            this.report = report;
            toldAt = report.heardAt();
        }

        /** Forgets the requests before a time, and returns the others. */
        private ArrayDeque<Long> sentSince(long time) {
            while (!sent.isEmpty() && sent.getFirst() - time < 0) {
                sent.removeFirst();
            }
            return sent;
        }
    }
}
