package org.tanagermoor.gateway.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.gateway.forward.TargetLoad;
import org.tanagermoor.gateway.proto.PermitAsk;
import org.tanagermoor.gateway.proto.PermitReturn;
import org.tanagermoor.gateway.proto.TargetLimit;

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
                        Set.of("a"))
                .withTraits(new RequestTraits("chat", 900, OptionalInt.of(0)));
        assertThat(DispatchCodec.fromMessage("x", DispatchCodec.toMessage(ask)), is(ask));
    }

    /** A rank that is unknown stays unknown, and is not taken for the first one. */
    @Test
    void keepsAnUnknownPriority() {
        Ask ask = DispatchCodec.fromMessage("x", PermitAsk.getDefaultInstance());
        assertThat(ask.traits(), is(RequestTraits.NONE));
        assertThat(DispatchCodec.toMessage(ask).getPriority(), is(0));
    }

    /** A request limit is read as it was written, also one of nothing, and its age includes the wait before sending. */
    @ParameterizedTest
    @CsvSource(
            value = {"3.4", "0", "null"},
            nullValues = "null")
    void keepsARequestLimit(Double perSecond) {
        OptionalDouble limit = perSecond == null ? OptionalDouble.empty() : OptionalDouble.of(perSecond);
        long sentAt = TimeUnit.SECONDS.toNanos(50);
        long readAt = TimeUnit.SECONDS.toNanos(9);
        LimitReport report = new LimitReport("t", 1_700_000_000_000L, limit, sentAt - millis(35))
                .withSent(List.of(sentAt - millis(900), sentAt));
        LimitReport read = DispatchCodec.fromMessage(DispatchCodec.toMessage(report, sentAt), readAt);
        assertThat(
                read,
                is(new LimitReport("t", 1_700_000_000_000L, limit, readAt - millis(35))
                        .withSent(List.of(readAt - millis(900), readAt))));
    }

    /** A request limit that no target can mean counts as none, and does not fail the message. */
    @ParameterizedTest
    @ValueSource(doubles = {-1, Double.NaN, Double.POSITIVE_INFINITY})
    void readsAnImpossibleRequestLimitAsNone(double perSecond) {
        TargetLimit message = TargetLimit.newBuilder().setPerSecond(perSecond).build();
        assertThat(DispatchCodec.fromMessage(message, 0).perSecond(), is(OptionalDouble.empty()));
    }

    /** The end of a run is read as it was written, and the age of a load report includes the wait before sending. */
    @ParameterizedTest
    @EnumSource(PlaceOutcome.class)
    void keepsTheEndOfARun(PlaceOutcome outcome) {
        TargetLoad load = new TargetLoad(7, 2, 8, 130);
        long sentAt = TimeUnit.SECONDS.toNanos(50);
        RunAnswer answer = new RunAnswer(
                true, millis(80), 12, millis(900), Optional.of(new LoadReport(load, sentAt - millis(35))));
        long readAt = TimeUnit.SECONDS.toNanos(9);
        PlaceEnd read =
                DispatchCodec.fromMessage(DispatchCodec.toMessage(3, new PlaceEnd(outcome, answer), sentAt), readAt);
        RunAnswer expected = new RunAnswer(
                true, millis(80), 12, millis(900), Optional.of(new LoadReport(load, readAt - millis(35))));
        assertThat(read, is(new PlaceEnd(outcome, expected)));
    }

    /** What an earlier version of the program does not write is unknown, and a known short time does not become so. */
    @Test
    void tellsUnknownTimesFromShortOnes() {
        PermitReturn earlier = PermitReturn.newBuilder()
                .setPermit(1)
                .setOutcome(PermitReturn.Outcome.SERVED)
                .build();
        assertThat(DispatchCodec.fromMessage(earlier, 0), is(new PlaceEnd(PlaceOutcome.SERVED, RunAnswer.NONE)));
        PlaceEnd quick = new PlaceEnd(PlaceOutcome.UNUSED, new RunAnswer(false, 0, 0, 1, Optional.empty()));
        assertThat(
                DispatchCodec.fromMessage(DispatchCodec.toMessage(1, quick, 0), 0)
                        .answer()
                        .sent(),
                is(true));
    }

    /** A place in use keeps its route, to which a later dispatcher attributes the end of its run. */
    @Test
    void keepsTheRouteOfAPlace() {
        OccupiedPlace place = new OccupiedPlace(1, "assistant", "t", true, 0, Work.NONE).withRoute("chat");
        assertThat(DispatchCodec.fromMessage(DispatchCodec.toMessage(place)).route(), is("chat"));
    }

    private static long millis(long count) {
        return TimeUnit.MILLISECONDS.toNanos(count);
    }
}
