package org.tanagermoor.policy.standing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vavr.collection.Vector;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.View;

class AcceptanceTest {

    private static final long WINDOW = 2_000;

    /**
     * Views are written as lists of members, for example {@code abc}; an upper-case letter is the next incarnation of a
     * member.
     */
    @ParameterizedTest
    @CsvSource({
        "abc, abc, 0, true",
        "abc, ab, 0, false",
        "abc, ab, 2000, false",
        "abc, ab, 2001, true",
        "abc, a, 9999, false",
        "abcd, ab, 9999, false",
        "abc ab, ab, 0, false",
        "abc ab, ab, 2001, true",
        "abcde abc a, ab, 9999, false",
        "abcde abc a, abc, 2001, true",
        "abcde abcdef, abf, 9999, false",
        "abcde abcdef, abcf, 2001, true",
        "abcde abcdef, abcdf, 2001, true",
        "abc Abc ABc ABC, ABC, 0, false",
        "abc Abc ABc ABC, ABC, 2001, true",
        "abc xbc xyc xyz, xyz, 9999, false"
    })
    void isReachedByAllOrByMajoritiesOfEveryViewAndTheWindow(
            String views, String adopters, long waited, boolean expected) {
        Vector<View> chain = Vector.empty();
        for (String text : views.split(" ")) {
            chain = chain.append(view(chain.size() + 1, text));
        }
        Acceptance acceptance = Acceptance.of(9, new ViewChain(1, chain));
        for (int index = 0; index < adopters.length(); index++) {
            acceptance = acceptance.withAdopted(member(adopters.charAt(index)).id(), 9);
        }
        acceptance = acceptance.withMajorityChecked(0).withMajorityChecked(waited);

        assertThat(acceptance.accepted(waited, WINDOW), is(expected));
    }

    @Test
    void anEarlierVersionDoesNotCount() {
        Acceptance acceptance = Acceptance.of(9, new ViewChain(1, Vector.of(view(1, "a"))));

        assertThat(
                acceptance
                        .withAdopted(member('a').id(), 8)
                        .withMajorityChecked(0)
                        .accepted(9_999, WINDOW),
                is(false));
        assertThat(acceptance.withAdopted(member('a').id(), 10).accepted(0, WINDOW), is(true));
    }

    @Test
    void anAcceptedVersionShortensTheChainEvenIfItIsAheadOfTheViews() {
        ViewChain chain = new ViewChain(1, Vector.of(view(1, "a")))
                .withView(view(5, "ab"))
                .withView(view(7, "abc"));

        assertThat(chain.withAccepted(6).views().map(View::version).toJavaList(), is(List.of(5L, 7L)));
        assertThat(chain.withAccepted(6).settled(), is(false));
        assertThat(chain.withAccepted(7).settled(), is(true));
        ViewChain ahead = chain.withAccepted(9).withView(view(8, "b"));
        assertThat(ahead.views().map(View::version).toJavaList(), is(List.of(8L)));
    }

    /**
     * The answers are written as member and age, for example {@code b3 c9}; a plus sign means that the peer has a later
     * version.
     */
    @ParameterizedTest
    @CsvSource({
        "abc, 2000, '', FULL",
        "abc, 2001, '', NONE",
        "abc, 2001, b2000, OUTAGE",
        "abc, 2001, b2001, NONE",
        "abcd, 2001, b0, NONE",
        "abcd, 2001, b0 c0, OUTAGE",
        "abc, 2001, b0 c0+, NONE",
        "abc, 2001, b0 c2001+, OUTAGE",
        "abc, 2001, x0 y0, NONE",
        "bc, 0, b0 c0, NONE"
    })
    void standingFollowsFreshnessAndThenAMajority(String view, long age, String answers, Standing expected) {
        long now = 100_000;
        StandingState state = StandingState.of(member('a').id(), WINDOW)
                .withAdopted(5, view(5, view))
                .withHead(5, now - age);
        for (String answer : answers.isEmpty() ? Set.<String>of() : Set.of(answers.split(" "))) {
            long version = answer.endsWith("+") ? 6 : 5;
            long answerAge = Long.parseLong(answer.substring(1).replace("+", ""));
            state = state.withAnswer(member(answer.charAt(0)).id(), version, now - answerAge);
        }

        assertThat(state.standing(now), is(expected));
    }

    @Test
    void aNewerHeadCountsOnceItIsAdopted() {
        StandingState behind = StandingState.of(member('a').id(), WINDOW)
                .withAdopted(5, view(5, "a"))
                .withHead(7, 100);

        assertThat(behind.standing(100), is(Standing.NONE));
        assertThat(behind.withAdopted(6, view(6, "a")).standing(100), is(Standing.NONE));
        assertThat(behind.withAdopted(7, view(6, "a")).standing(2_100), is(Standing.FULL));
        assertThat(
                behind.withAdopted(7, view(6, "a")).withAdopted(6, view(5, "b")).version(), is(7L));
    }

    private static View view(long version, String members) {
        return View.of(
                version,
                members.chars().mapToObj(letter -> member((char) letter)).toList());
    }

    private static Member member(char letter) {
        char name = Character.toLowerCase(letter);
        Address address = Address.of("127.0.0.1", name);
        InstanceId id = InstanceId.of(String.valueOf(name), letter);
        return Member.of(id, FailureDomain.of("d"), address, address);
    }
}
