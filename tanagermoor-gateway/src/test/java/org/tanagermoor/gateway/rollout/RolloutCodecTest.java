package org.tanagermoor.gateway.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.tanagermoor.gateway.proto.RolloutRow;
import org.tanagermoor.policy.rollout.RolloutOrder;
import org.tanagermoor.policy.rollout.RolloutPhase;

/** Rows of states, which instances of other versions of the program also write. */
final class RolloutCodecTest {

    /** What another instance reads of a state is all that was written. */
    @ParameterizedTest
    @MethodSource("phases")
    void keepsAState(RolloutPhase phase) {
        RolloutState state = new RolloutState(
                7,
                new RolloutOrder("s", "v2", Duration.ofMillis(12_500)),
                phase,
                Set.of("v1", ""),
                Duration.ofMillis(300),
                40,
                3,
                "a");
        assertThat(RolloutCodec.fromRow("s", RolloutCodec.toRow(state)), is(Either.right(state)));
    }

    private static Stream<RolloutPhase> phases() {
        return Stream.of(
                new RolloutPhase.Canary(),
                new RolloutPhase.Moving(),
                new RolloutPhase.Completed(),
                new RolloutPhase.RolledBack("bad on r"));
    }

    /** A row that cannot be meant is refused, so that it is not taken as a state in its first phase. */
    @ParameterizedTest
    @MethodSource("unreadable")
    void refusesAnUnreadableRow(byte[] row) {
        assertThat(RolloutCodec.fromRow("s", row).isLeft(), is(true));
    }

    private static Stream<Arguments> unreadable() {
        RolloutRow row = RolloutRow.newBuilder()
                .setService("s")
                .setVersion("v2")
                .setDurationMillis(1)
                .build();
        return Stream.of(
                Arguments.of((Object) new byte[0]),
                Arguments.of((Object) new byte[] {1, 2, 3}),
                Arguments.of(
                        (Object) row.toBuilder().setService("other").build().toByteArray()),
                Arguments.of((Object) row.toBuilder().clearVersion().build().toByteArray()),
                Arguments.of(
                        (Object) row.toBuilder().clearDurationMillis().build().toByteArray()),
                Arguments.of((Object) row.toBuilder().setPhaseValue(9).build().toByteArray()));
    }
}
