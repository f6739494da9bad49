package org.tanagermoor.policy.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.configuration.Target;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TargetId;

class TargetWarmthTest {

    private static final long SECOND = 1_000_000_000;

    private static final long WARM = 100 * SECOND;

    private static final Target TARGET = new Target(
            TargetId.of("t"),
            ServiceName.of("s"),
            FailureDomain.of("d"),
            Address.of("127.0.0.1", 1),
            40,
            4,
            10_000,
            false);

    static List<Arguments> cases() {
        return List.of(
                testCase("warm", 40, warmth -> {}),
                testCase("a new start mark in a load report", 4, warmth -> warmth.recordLoad("two", WARM, WARM)),
                testCase(
                        "a new start mark at an instance",
                        4,
                        warmth -> warmth.recordSigns(coldSigns("two", -1, 0), WARM)),
                testCase("half warm after a restart", 22, warmth -> warmth.recordLoad("two", 95 * SECOND, 95 * SECOND)),
                testCase("a late answer with an old start mark", 22, warmth -> {
                    warmth.recordLoad("two", 95 * SECOND, 95 * SECOND);
                    warmth.recordSigns(coldSigns("one", -1, 0), WARM);
                }),
                testCase("a reset", 4, warmth -> warmth.recordSigns(coldSigns("one", -1, 1), WARM)),
                testCase("a reset that an earlier load report does not explain", 4, warmth -> {
                    warmth.recordSigns(coldSigns("one", -1, 1), WARM);
                    warmth.recordLoad("one", WARM - SECOND, WARM);
                }),
                testCase("a reset after which the target is the same", 40, warmth -> {
                    warmth.recordSigns(coldSigns("one", -1, 1), WARM - SECOND);
                    warmth.recordLoad("one", WARM, WARM);
                }),
                testCase("first tokens that come much later", 4, warmth -> {
                    warmth.recordSigns(tokens(20, 100), WARM - SECOND);
                    warmth.recordSigns(tokens(20, 900), WARM);
                }),
                testCase("first tokens that come a little later", 40, warmth -> {
                    warmth.recordSigns(tokens(20, 100), WARM - SECOND);
                    warmth.recordSigns(tokens(20, 200), WARM);
                }));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    void hasTheCapacityThatTheSignsAllow(String name, int expected, Consumer<TargetWarmth> coldSigns) {
        TargetWarmth warmth = new TargetWarmth(0);
        warmth.recordLoad("one", 0, 0);

        coldSigns.accept(warmth);

        assertThat(warmth.capacity(TARGET, WARM), is(expected));
    }

    private static PermitReport.ColdSigns coldSigns(String mark, long warmMillis, int resets) {
        return new PermitReport.ColdSigns(mark, warmMillis, resets, 0, 0);
    }

    private static PermitReport.ColdSigns tokens(int count, long millis) {
        return new PermitReport.ColdSigns("one", -1, 0, count, count * millis);
    }

    private static Arguments testCase(String name, int expected, Consumer<TargetWarmth> coldSigns) {
        return Arguments.of(name, expected, coldSigns);
    }
}
