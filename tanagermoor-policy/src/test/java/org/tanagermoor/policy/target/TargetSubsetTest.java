package org.tanagermoor.policy.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vavr.Tuple;
import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.configuration.Target;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.fleet.View;

class TargetSubsetTest {

    private static final int DOMAINS = 3;

    private static final int INSTANCES = 60;

    private static final Address ADDRESS = Address.of("127.0.0.1", 1);

    @ParameterizedTest
    @CsvSource({"60, 2000", "36, 1200", "12, 400", "6, 200"})
    void usesEachTargetByEnoughInstancesWithinTheSubsetSizes(int instances, int targets) {
        Map<Member, TargetSubset> subsets = subsets(instances, targets);
        int usersPerTarget = Math.ceilDiv(TargetSubset.MEAN_SIZE * instances, targets);

        for (int target = 0; target < targets; target++) {
            TargetId id = TargetId.of("t" + target);
            long using = subsets.values().stream()
                    .filter(subset -> subset.includes(id))
                    .count();
            assertThat(id + " is used", (int) using, greaterThanOrEqualTo(usersPerTarget));
        }
        subsets.forEach((member, subset) -> {
            assertThat(member + " uses", size(subset, targets), greaterThanOrEqualTo(TargetSubset.MIN_SIZE));
            assertThat(member + " uses", size(subset, targets), lessThanOrEqualTo(3 * TargetSubset.MEAN_SIZE));
        });
    }

    @Test
    void prefersTheOwnFailureDomain() {
        subsets(INSTANCES, 2_000)
                .forEach((member, subset) -> IntStream.range(0, 2_000)
                        .filter(target -> subset.includes(TargetId.of("t" + target)))
                        .forEach(target -> assertThat(domain(target), is(member.domain()))));
    }

    @Test
    void usesOtherDomainsWhereTheOwnIsOutOrHasNoTarget() {
        Member remoteMember = Member.of(InstanceId.of("i99", 99), FailureDomain.of("elsewhere"), ADDRESS, ADDRESS);
        Configuration configuration = configuration(INSTANCES, 2_000, HashSet.of(domain(0)), List.of(remoteMember));

        subsets(configuration).forEach((member, subset) -> {
            long usable = IntStream.range(0, 2_000)
                    .filter(target -> subset.includes(TargetId.of("t" + target)))
                    .filter(target -> !configuration.isOut(domain(target)))
                    .count();
            assertThat(member + " uses", (int) usable, greaterThanOrEqualTo(TargetSubset.MIN_SIZE));
        });
    }

    @ParameterizedTest
    @CsvSource({"60, 1", "60, 64", "1, 2000"})
    void usesAllWhereThereAreFewTargetsOrOneInstance(int instances, int targets) {
        subsets(instances, targets).forEach((member, subset) -> assertThat(size(subset, targets), is(targets)));
    }

    @Test
    void anInstanceThatJoinsMovesOnlyItsPart() {
        int targets = 2_000;
        Map<Member, TargetSubset> before = subsets(INSTANCES, targets);
        Map<Member, TargetSubset> after = subsets(INSTANCES + 1, targets);
        long moved = 0;
        for (Map.Entry<Member, TargetSubset> entry : before.entrySet()) {
            TargetSubset now = after.get(entry.getKey());
            moved += IntStream.range(0, targets)
                    .mapToObj(target -> TargetId.of("t" + target))
                    .filter(target -> entry.getValue().includes(target) && !now.includes(target))
                    .count();
        }
        assertThat(moved, lessThanOrEqualTo(4L * TargetSubset.MEAN_SIZE));
    }

    private static Map<Member, TargetSubset> subsets(int instances, int targets) {
        return subsets(configuration(instances, targets, HashSet.empty(), List.of()));
    }

    private static Map<Member, TargetSubset> subsets(Configuration configuration) {
        Map<Member, TargetSubset> subsets =
                new TreeMap<>(Comparator.comparing(member -> member.id().toString()));
        Map<TargetId, Optional<InstanceId>> stewards = stewards(configuration);
        configuration.view().members().values().forEach(member -> {
            TargetSubset subset = TargetSubset.of(member, stewards::get);
            subset.adopt(configuration);
            subsets.put(member, subset);
        });
        return subsets;
    }

    private static Map<TargetId, Optional<InstanceId>> stewards(Configuration configuration) {
        Map<TargetId, Optional<InstanceId>> stewards = new TreeMap<>();
        configuration
                .targets()
                .keySet()
                .forEach(id -> stewards.put(id, PermitSteward.steward(id, configuration.view())));
        return stewards;
    }

    private static int size(TargetSubset subset, int targets) {
        return (int) IntStream.range(0, targets)
                .filter(target -> subset.includes(TargetId.of("t" + target)))
                .count();
    }

    private static Configuration configuration(
            int instances, int targets, HashSet<FailureDomain> out, List<Member> additional) {
        List<Member> members = new ArrayList<>(additional);
        for (int index = 0; index < instances; index++) {
            members.add(Member.of(InstanceId.of("i" + index, index + 1L), domain(index), ADDRESS, ADDRESS));
        }
        Configuration empty = Configuration.EMPTY;
        return new Configuration(
                1,
                "change",
                empty.presetInForce(),
                empty.presets(),
                empty.teams(),
                empty.keys(),
                empty.services(),
                HashMap.ofEntries(IntStream.range(0, targets)
                        .mapToObj(TargetSubsetTest::target)
                        .map(target -> Tuple.of(target.id(), target))
                        .toList()),
                out,
                View.of(1, members));
    }

    private static Target target(int index) {
        return new Target(TargetId.of("t" + index), ServiceName.of("s"), domain(index), ADDRESS, 38, 38, 1, false);
    }

    private static FailureDomain domain(int index) {
        return FailureDomain.of("d" + index % DOMAINS);
    }
}
