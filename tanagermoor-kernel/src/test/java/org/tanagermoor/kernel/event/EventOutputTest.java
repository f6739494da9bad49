package org.tanagermoor.kernel.event;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.io.OutputStream;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.kernel.time.HybridTimestamp;

/** Tests of {@link EventOutput.ForStream}. */
final class EventOutputTest {

    private static final Pattern DROPPED = Pattern.compile("\\{\"event\":\"LINES_DROPPED\",\"lines\":(\\d+)}");

    /** A reader that stops reading must not block the writers of events; lines that are dropped meanwhile are counted. */
    @ParameterizedTest
    @ValueSource(ints = {1, 300, 10_000})
    void doesNotBlockWhenTheReaderStops(int events) throws InterruptedException {
        BlockedStream stream = new BlockedStream();
        EventOutput output = EventOutput.ForStream.of(stream, Level.INFO);
        for (int event = 0; event < events; event++) {
            output.write(event(event));
        }
        stream.writeStarted.await();
        output.write(event(events));
        stream.released.countDown();
        stream.flushed.await();
        output.close();

        String written = stream.bytes.toString(StandardCharsets.UTF_8);
        long lines = written.lines().filter(line -> line.contains("\"number\"")).count();
        long dropped = 0;
        for (Matcher matcher = DROPPED.matcher(written); matcher.find(); ) {
            dropped += Long.parseLong(matcher.group(1));
        }
        assertThat(lines, is(greaterThan(0L)));
        assertThat(lines + dropped, is(events + 1L));
    }

    private static EventRecord event(int number) {
        return new EventRecord(
                number,
                new HybridTimestamp(1_000, number),
                "p",
                KernelEvent.READY,
                Map.of("number", Integer.toString(number)));
    }

    /** A stream whose writes block until the test releases them. */
    private static final class BlockedStream extends OutputStream {

        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

        private final CountDownLatch writeStarted = new CountDownLatch(1);

        private final CountDownLatch released = new CountDownLatch(1);

        private final CountDownLatch flushed = new CountDownLatch(1);

        @Override
        public void write(int value) throws IOException {
            write(new byte[] {(byte) value}, 0, 1);
        }

        @Override
        public void write(byte[] buffer, int offset, int length) throws IOException {
            writeStarted.countDown();
            if (released.getCount() > 0) {
                try {
                    released.await();
                } catch (InterruptedException exception) {
                    throw new InterruptedIOException();
                }
            }
            bytes.write(buffer, offset, length);
        }

        @Override
        public void flush() {
            flushed.countDown();
        }
    }
}
