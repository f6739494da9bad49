package org.tanagermoor.membership.gossip;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.View;
import org.tanagermoor.policy.standing.StandingState;

class AgesTest {

    private static final long WINDOW = 1_500;

    private static final long NOW = 50_000;

    private static final View VIEW =
            View.of(7, IntStream.range(0, 5).mapToObj(AgesTest::member).toList());

    /** Encoding never makes an age smaller. Answers that are too old or have a later version are left out. */
    @ParameterizedTest
    @CsvSource({"0, 7, 0", "1, 7, 100", "100, 7, 100", "1301, 7, 1400", "1401, 7, -1", "1501, 7, -1", "0, 8, -1"})
    void agesAreRoundedUp(long age, long version, long expected) {
        StandingState sender = state(0).withAnswer(id(3), version, NOW - age);
        StandingState receiver = Ages.decode(state(1), Ages.encode(sender, NOW), 7, 1_000);

        assertThat(receiver.answers().get(id(0)).get().askedAt(), is(1_000L));
        assertThat(
                receiver.answers()
                        .get(id(3))
                        .map(answer -> 1_000 - answer.askedAt())
                        .getOrElse(-1L),
                is(expected));
        assertThat(receiver.answers().containsKey(id(1)), is(false));
    }

    @Test
    void adoptersSurviveEncoding() {
        List<InstanceId> adopters = List.of(id(0), id(2), id(4));

        assertThat(Adopters.decode(VIEW, Adopters.encode(VIEW, adopters)), is(adopters));
        assertThat(Adopters.decode(VIEW, Adopters.encode(VIEW, List.of(id(9)))), is(List.of()));
    }

    private static StandingState state(int index) {
        return StandingState.of(id(index), WINDOW).withAdopted(7, VIEW);
    }

    private static InstanceId id(int index) {
        return InstanceId.of("i" + index, 1);
    }

    private static Member member(int index) {
        Address address = Address.of("127.0.0.1", 1 + index);
        return Member.of(id(index), FailureDomain.of("d"), address, address);
    }
}
