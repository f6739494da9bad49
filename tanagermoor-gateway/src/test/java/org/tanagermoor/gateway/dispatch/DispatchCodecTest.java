package org.tanagermoor.gateway.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the conversion of asks to and from messages. */
final class DispatchCodecTest {

    /** An ask is read as it was written, including one that is late and one whose work is partly done. */
    @ParameterizedTest
    @CsvSource({"3000, 5000, 1.0", "-2000, 1250, 0.25", "0, 0, 1.0"})
    void keepsAnAsk(long onTimeMillis, long workMillis, double workLeft) {
        Ask ask = new Ask(
                "x",
                7,
                "assistant",
                "team",
                "lisbon-a",
                11,
                TimeUnit.SECONDS.toNanos(10),
                TimeUnit.MILLISECONDS.toNanos(onTimeMillis),
                Work.of(TimeUnit.MILLISECONDS.toNanos(workMillis), workLeft),
                true,
                false,
                Set.of("a"));
        assertThat(DispatchCodec.fromMessage("x", DispatchCodec.toMessage(ask)), is(ask));
    }
}
