package org.tanagermoor.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how streams are split into events. */
final class EventFramesTest {

    /** A stream of three events in the forms that servers send. */
    private static final String STREAM = """
            x-weight-versions: 3
            id: 1
            data: one

            id: 2\r
            data:two\r
            data: lines\r
            \r
            id:3
            data:\s

            """;

    /** The events do not depend on the sizes of the pieces in which the bytes arrive, and no byte is changed. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 16, 1_000})
    void splitsEventsForAnyPieceSize(int size) {
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        EventFrames frames = EventFrames.of();
        List<EventFrames.Event> events = new ArrayList<>();
        ByteArrayOutputStream rejoined = new ByteArrayOutputStream();
        for (int offset = 0; offset < bytes.length; offset += size) {
            events.addAll(frames.add(Unpooled.wrappedBuffer(bytes, offset, Math.min(size, bytes.length - offset))));
        }
        events.forEach(event -> rejoined.writeBytes(event.bytes()));
        assertThat(rejoined.toString(StandardCharsets.UTF_8), is(STREAM));
        assertThat(events.stream().map(EventFrames.Event::number).toList(), is(List.of(1L, 2L, 3L)));
        assertThat(events.stream().map(EventFrames.Event::data).toList(), is(List.of("one", "two\nlines", "")));
        assertThat(frames.remainder().length, is(0));
    }

    /** Bytes after the last complete event are kept apart from it. */
    @ParameterizedTest
    @ValueSource(strings = {"id: 1\nda", "id: 1\ndata: one\n", "i"})
    void keepsIncompleteEvent(String incompleteEvent) {
        EventFrames frames = EventFrames.of();
        byte[] bytes = (STREAM + incompleteEvent).getBytes(StandardCharsets.UTF_8);
        assertThat(frames.add(Unpooled.wrappedBuffer(bytes)).size(), is(3));
        assertThat(new String(frames.remainder(), StandardCharsets.UTF_8), is(incompleteEvent));
    }

    /** A stream that ends inside an event is not complete; comments and empty lines after an event do not matter. */
    @ParameterizedTest
    @CsvSource({
        "'', false, false",
        "': alive', false, false",
        "'\n', true, false",
        "': alive\n', true, false",
        "'i', true, true",
        "'id: 4\n', true, true",
        "': alive\ndata: x\n', true, true"
    })
    void recognizesAnEndInsideAnEvent(String end, boolean eventsBefore, boolean inside) {
        EventFrames frames = EventFrames.of();
        frames.add(Unpooled.wrappedBuffer(((eventsBefore ? STREAM : "") + end).getBytes(StandardCharsets.UTF_8)));
        assertThat(frames.insideEvent(), is(inside));
        assertThat(frames.eventCompleted(), is(eventsBefore));
    }

    /** Endless bytes without a new event are refused after a bounded number of them, whatever they contain. */
    @ParameterizedTest
    @ValueSource(strings = {"x", "data: x\n", "\r", "\n", ":\n\n", "id: 1\ndata: x\n\n"})
    void refusesEndlessBytesWithoutNewEvent(String endless) {
        byte[] bytes = endless.repeat(1_000).getBytes(StandardCharsets.UTF_8);
        EventFrames frames = EventFrames.of();
        assertThrows(IllegalArgumentException.class, () -> {
            for (int piece = 0; piece < 10_000; piece++) {
                frames.add(Unpooled.wrappedBuffer(bytes));
            }
        });
    }

    /**
     * An event without a field is a comment that keeps the stream alive; anything else without a number is an event.
     */
    @ParameterizedTest
    @CsvSource({"':', true", "': alive', true", "'', true", "'data: x', false", "'x', false"})
    void distinguishesCommentsFromEvents(String line, boolean comment) {
        EventFrames frames = EventFrames.of();
        byte[] bytes = (line + "\r\n\r\n").getBytes(StandardCharsets.UTF_8);
        assertThat(frames.add(Unpooled.wrappedBuffer(bytes)).get(0).comment(), is(comment));
    }
}
