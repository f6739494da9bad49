package org.tanagermoor.policy.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.configuration.Target;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TargetId;

class RoutingTest {

    private static final FailureDomain NORTH = FailureDomain.of("north");

    private static final FailureDomain SOUTH = FailureDomain.of("south");

    static List<Arguments> routings() {
        return List.of(
                Arguments.of(new Routing.PrefixAffinity()),
                Arguments.of(new Routing.LeastLoaded()),
                Arguments.of(new Routing.Random()),
                Arguments.of(new Routing.RoundRobin()));
    }

    @ParameterizedTest
    @MethodSource("routings")
    void ordersEachTargetOnce(Routing routing) {
        List<Candidate> all = candidates(0.1, 0.9, 0.5, 0.2);

        for (long draw = 0; draw < 20; draw++) {
            List<Candidate> order = routing.order("prefix", NORTH, all, draw);
            assertThat(order, containsInAnyOrder(all.toArray()));
        }
    }

    @Test
    void aPrefixKeepsItsTargetUntilThatIsOverloaded() {
        Routing routing = new Routing.PrefixAffinity();
        List<Candidate> idle = candidates(0, 0, 0, 0);
        Candidate first = routing.order("prefix", NORTH, idle, 1).getFirst();
        assertThat(routing.order("prefix", SOUTH, idle, 2).getFirst(), is(first));

        List<Candidate> loaded = new ArrayList<>(idle);
        loaded.set(idle.indexOf(first), Candidate.of(first.target(), 1));

        Candidate second = routing.order("prefix", NORTH, loaded, 1).getFirst();
        assertThat(second.target(), not(first.target()));
    }

    @ParameterizedTest
    @CsvSource({"0, 0, north", "0.3, 0.3, north", "0.9, 0.1, south", "1, 0, south"})
    void prefersTheOwnDomainUnlessItIsOverloaded(double north, double south, String expected) {
        List<Candidate> all = candidates(north, south, north, south);

        for (long draw = 0; draw < 20; draw++) {
            Candidate chosen =
                    new Routing.LeastLoaded().order("", NORTH, all, draw).getFirst();
            assertThat(chosen.target().domain(), is(FailureDomain.of(expected)));
        }
    }

    /** Creates targets with the given loads, alternating between the two failure domains. */
    private static List<Candidate> candidates(double... loads) {
        List<Candidate> candidates = new ArrayList<>();
        for (int index = 0; index < loads.length; index++) {
            Target target = new Target(
                    TargetId.of("t" + index),
                    ServiceName.of("s"),
                    index % 2 == 0 ? NORTH : SOUTH,
                    Address.of("127.0.0.1", 1),
                    8,
                    8,
                    1,
                    false);
            candidates.add(Candidate.of(target, loads[index]));
        }
        return candidates;
    }
}
