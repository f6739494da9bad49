package org.tanagermoor.kernel.event;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tanagermoor.kernel.time.HybridClock;
import org.tanagermoor.kernel.time.HybridTimestamp;
import org.tanagermoor.kernel.time.TimeSource;

/** Records the events of a process, for its log and for the timeline of all instances. */
public interface EventLog {

    /**
     * Records an event.
     *
     * @param fields Alternating names and values; a missing last value is written as empty.
     */
    void record(EventType type, Object... fields);

    /**
     * Returns the recent events after a sequence number, oldest first.
     *
     * @param sequence The sequence number of the last event already read, or 0 for none.
     * @param limit The maximum number of events to return.
     * @return The events that are still in memory.
     */
    List<EventRecord> since(long sequence, int limit);

    /**
     * Returns the clock that orders the events. Messages to other processes carry its readings.
     */
    HybridClock clock();

    /** A log that discards all events. */
    final class Disabled implements EventLog {

        /** Needed although nothing is recorded, since messages carry its readings. */
        private final HybridClock clock = new HybridClock();

        /** {@inheritDoc} */
        @Override
        public void record(EventType type, Object... fields) {
            // Events are discarded.
        }

        /** {@inheritDoc} */
        @Override
        public List<EventRecord> since(long sequence, int limit) {
            return List.of();
        }

        /** {@inheritDoc} */
        @Override
        public HybridClock clock() {
            return clock;
        }
    }

    /** A log that writes to {@link System.Logger} and keeps recent events in memory. */
    final class Default implements EventLog {

        /** The maximum number of events in memory; the oldest are removed first. */
        private static final int MAX_RECENT_EVENTS = 8_192;

        private final String process;

        private final TimeSource time;

        private final EventOutput output;

        private final HybridClock clock = new HybridClock();

        /** The recent events, oldest first. Guarded by itself. */
        private final ArrayDeque<EventRecord> recentEvents = new ArrayDeque<>();

        /** The sequence number of the last event. Guarded by {@link #recentEvents}. */
        private long lastSequence;

        private Default(String process, TimeSource time, EventOutput output) {
            this.process = process;
            this.time = time;
            this.output = output;
        }

        /**
         * Returns an empty log.
         *
         * @param process The name of the process, which each event carries.
         */
        public static EventLog of(String process, TimeSource time) {
            return of(process, time, new EventOutput.ForLogger());
        }

        /**
         * Returns an empty log that also writes to an output.
         *
         * @param process The name of the process, which each event carries.
         * @param output The destination of the events.
         */
        public static EventLog of(String process, TimeSource time, EventOutput output) {
            return new Default(process, time, output);
        }

        /** {@inheritDoc} */
        @Override
        public void record(EventType type, Object... fields) {
            EventRecord event = append(type, fields(fields));
            output.write(event);
        }

        /** {@inheritDoc} */
        @Override
        public List<EventRecord> since(long sequence, int limit) {
            synchronized (recentEvents) {
                List<EventRecord> result = new ArrayList<>();
                for (EventRecord event : recentEvents) {
                    if (event.sequence() > sequence && result.size() < limit) {
                        result.add(event);
                    }
                }
                return result;
            }
        }

        /** {@inheritDoc} */
        @Override
        public HybridClock clock() {
            return clock;
        }

        /**
         * Creates an event with the next sequence number and timestamp, and stores it among the recent events.
         */
        private EventRecord append(EventType type, Map<String, String> fields) {
            synchronized (recentEvents) {
                HybridTimestamp timestamp = clock.next(time.wallMillis());
                EventRecord event = new EventRecord(++lastSequence, timestamp, process, type, fields);
                recentEvents.addLast(event);
                if (recentEvents.size() > MAX_RECENT_EVENTS) {
                    recentEvents.removeFirst();
                }
                return event;
            }
        }

        /**
         * Converts alternating names and values to a map that keeps their order.
         */
        private static Map<String, String> fields(Object... fields) {
            Map<String, String> result = new LinkedHashMap<>();
            for (int index = 0; index < fields.length; index += 2) {
                Object value = index + 1 < fields.length ? fields[index + 1] : "";
                result.put(String.valueOf(fields[index]), String.valueOf(value));
            }
            return result;
        }
    }
}
