package org.tanagermoor.kernel.event;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/** A destination to which the events of a process are written. */
public interface EventOutput {

    /** Writes an event unless its level is below the minimum. Does not block. */
    void write(EventRecord event);

    /** Writes the queued events when the process ends. */
    default void close() {
        // There is no queue by default.
    }

    /** Writes events to {@link System.Logger} as lines for people. */
    final class ForLogger implements EventOutput {

        private static final System.Logger LOGGER = System.getLogger("org.tanagermoor");

        /** {@inheritDoc} */
        @Override
        public void write(EventRecord event) {
            if (LOGGER.isLoggable(event.type().level())) {
                LOGGER.log(event.type().level(), event.toLine());
            }
        }
    }

    /**
     * Writes one JSON object per line to a stream. A bounded queue and a separate thread decouple the callers from the
     * stream: a reader that stops reading causes lines to be dropped, but does not delay requests. Lines above the rate
     * limit are dropped, too. Dropped lines are counted and reported.
     */
    final class ForStream implements EventOutput {

        /** The maximum number of queued lines, which is about five seconds at the maximum rate. */
        private static final int MAX_QUEUED_LINES = 2_048;

        /** The maximum number of lines per second, two orders of magnitude above the usual rate. */
        static final int MAX_LINES_PER_SECOND = 400;

        private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

        /** The time for which lines are collected before they are written together, in nanoseconds. */
        private static final long BATCH_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

        /** The maximum time for which the end of the process waits for the last lines, in milliseconds. */
        private static final long CLOSE_TIMEOUT_MILLIS = 500;

        private static final JsonFactory JSON = new JsonFactory();

        private final OutputStream stream;

        private final Level minLevel;

        private final BlockingQueue<EventRecord> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);

        /** The number of dropped lines that have not been reported yet. */
        private final AtomicLong dropped = new AtomicLong();

        private final Thread thread;

        /** The start of the current second, as a reading of the monotonic clock in nanoseconds. Guarded by this. */
        private long secondStart;

        /** The number of lines in the current second. Guarded by this. */
        private int linesInSecond;

        /** Starts the writer thread. */
        private ForStream(OutputStream stream, Level minLevel) {
            this.stream = stream;
            this.minLevel = minLevel;
            secondStart = System.nanoTime();
            thread = new Thread(this::run, "event-output");
            thread.setDaemon(true);
            thread.start();
        }

        /**
         * Returns an output to a stream and starts its writer thread.
         *
         * @param minLevel The minimum level of events that are written.
         */
        public static ForStream of(OutputStream stream, Level minLevel) {
            return new ForStream(stream, minLevel);
        }

        /** {@inheritDoc} */
        @Override
        public void write(EventRecord event) {
            if (event.type().level().getSeverity() < minLevel.getSeverity()) {
                return;
            }
            if (!withinRate(System.nanoTime()) || !queue.offer(event)) {
                dropped.incrementAndGet();
            }
        }

        /** {@inheritDoc} */
        @Override
        public void close() {
            thread.interrupt();
            try {
                thread.join(CLOSE_TIMEOUT_MILLIS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }

        /** Counts one line and returns whether it is within the rate limit of the current second. */
        private synchronized boolean withinRate(long now) {
            if (now - secondStart >= SECOND_NANOS) {
                secondStart = now;
                linesInSecond = 0;
            }
            return ++linesInSecond <= MAX_LINES_PER_SECOND;
        }

        /** Writes queued lines in batches until this output is closed. */
        private void run() {
            boolean closing = false;
            while (!closing) {
                List<EventRecord> events = new ArrayList<>();
                try {
                    events.add(queue.take());
                    LockSupport.parkNanos(BATCH_DELAY_NANOS);
                } catch (InterruptedException exception) {
                    closing = true;
                }
                queue.drainTo(events);
                try {
                    stream.write(bytes(events));
                    stream.flush();
                } catch (IOException exception) {
                    dropped.addAndGet(events.size());
                }
            }
        }

        /** Returns the events as JSON lines, preceded by a line with the number of dropped lines if there are any. */
        private byte[] bytes(List<EventRecord> events) throws IOException {
            ByteArrayOutputStream buffer = new ByteArrayOutputStream();
            long droppedLines = dropped.getAndSet(0);
            if (droppedLines > 0) {
                buffer.writeBytes(("{\"event\":\"LINES_DROPPED\",\"lines\":" + droppedLines + "}\n")
                        .getBytes(java.nio.charset.StandardCharsets.UTF_8));
            }
            for (EventRecord event : events) {
                try (JsonGenerator json = JSON.createGenerator(buffer)) {
                    write(json, event);
                }
                buffer.write('\n');
            }
            return buffer.toByteArray();
        }

        /** Writes an event as a JSON object. */
        private static void write(JsonGenerator json, EventRecord event) throws IOException {
            json.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
            json.writeStartObject();
            json.writeNumberField("time", event.timestamp().millis());
            json.writeNumberField("order", event.timestamp().counter());
            json.writeStringField("level", event.type().level().name());
            json.writeStringField("process", event.process());
            json.writeStringField("event", event.type().name());
            json.writeStringField("code", event.type().code());
            for (Map.Entry<String, String> field : event.fields().entrySet()) {
                json.writeStringField(field.getKey(), field.getValue());
            }
            json.writeEndObject();
        }
    }
}
