package org.tanagermoor.policy.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import java.util.function.LongFunction;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.tanagermoor.policy.rollout.RolloutModel.Day;
import org.tanagermoor.policy.rollout.RolloutModel.Result;
import org.tanagermoor.policy.rollout.RolloutModel.Version;

/** The decision under loads of 30 to 1,000 requests per second, with each kind of version and of day. */
final class RolloutModelTest {

    private static final int SEEDS = 20;

    /** The number of good versions of 20 that must move in time: the verdict errs at a rate of 0.01. */
    private static final int MIN_GOOD = 19;

    /** The project's goal for a version that fails a fifth of its answers. */
    private static final double GOAL = 0.05;

    private static final List<Integer> RATES = List.of(30, 140, 1_000);

    private static final List<Integer> SECONDS = List.of(12, 30, 120);

    /** The number of requests from which only the usual day is simulated, for the time that it takes. */
    private static final int LARGE = 100_000;

    /** The loads and versions that rollsABadVersionBackAtLowRates tests. */
    private static final Set<String> LOW_RATES = Set.of("30/12/SLOW_THIRD", "30/12/FAILS_ON_ONE_ROUTE");

    /** The loads and days that movesToAGoodVersionOnHardDays tests. */
    private static final Set<String> HARD_DAYS = Set.of(
            "30/12/ALL_FAIL_SOMETIMES",
            "30/12/ALL_FAIL_FOR_A_TIME",
            "30/12/ONE_FAULTY_NEW_TARGET",
            "30/12/ONE_SLOW_NEW_TARGET",
            "30/30/USUAL",
            "30/30/ONE_FAULTY_NEW_TARGET",
            "30/30/ONE_SLOW_NEW_TARGET",
            "30/120/ONE_FAULTY_NEW_TARGET",
            "30/120/ONE_SLOW_NEW_TARGET",
            "140/12/ALL_FAIL_SOMETIMES",
            "140/30/ALL_FAIL_SOMETIMES",
            "140/120/ALL_FAIL_SOMETIMES",
            "140/120/ONE_SLOW_NEW_TARGET",
            "1000/12/ALL_SLOW_FOR_A_TIME",
            "1000/30/ALL_SLOW_FOR_A_TIME");

    private static Stream<Arguments> badVersions() {
        return allBadVersions().filter(arguments -> !LOW_RATES.contains(name(arguments)));
    }

    private static Stream<Arguments> badVersionsAtLowRates() {
        return allBadVersions().filter(arguments -> LOW_RATES.contains(name(arguments)));
    }

    private static Stream<Arguments> days() {
        return allDays().filter(arguments -> !HARD_DAYS.contains(name(arguments)));
    }

    private static Stream<Arguments> hardDays() {
        return allDays().filter(arguments -> HARD_DAYS.contains(name(arguments)));
    }

    private static String name(Arguments arguments) {
        return Stream.of(arguments.get()).map(String::valueOf).collect(Collectors.joining("/"));
    }

    private static Stream<Arguments> allBadVersions() {
        return loads().flatMap(load -> Stream.of(Version.values())
                .filter(version -> version != Version.GOOD)
                .map(version -> Arguments.of(load[0], load[1], version)));
    }

    private static Stream<Arguments> allDays() {
        return loads().flatMap(load -> Stream.of(Day.values())
                .filter(day -> day == Day.USUAL || load[0] * load[1] < LARGE)
                .map(day -> Arguments.of(load[0], load[1], day)));
    }

    private static Stream<int[]> loads() {
        return RATES.stream().flatMap(rate -> SECONDS.stream().map(seconds -> new int[] {rate, seconds}));
    }

    /** A bad version must not be completed, nor get more requests than the bounds allow. */
    @ParameterizedTest
    @MethodSource("badVersions")
    void rollsABadVersionBack(int rate, int seconds, Version version) {
        List<Result> results = results(seed -> RolloutModel.run(rate, seconds, version, Day.USUAL, seed));
        assertThat("not rolled back", without(results, Result::rolledBack), is(empty()));
        assertThat(
                "above the bound",
                without(results, result -> result.newRequests() <= result.exposureBound()),
                is(empty()));
        assertThat("late requests", without(results, result -> result.lateAfterBad() == 0), is(empty()));
    }

    /** The same at rates at which the share gives too few requests for a verdict before the move. */
    @ParameterizedTest
    @MethodSource("badVersionsAtLowRates")
    void rollsABadVersionBackAtLowRates(int rate, int seconds, Version version) {
        rollsABadVersionBack(rate, seconds, version);
    }

    /** A version that fails a fifth of its answers must be found before it got a twentieth of the requests. */
    @ParameterizedTest
    @CsvSource({"30, 12", "30, 30", "30, 120", "140, 30", "140, 120", "1000, 12", "1000, 30", "1000, 120"})
    void keepsAVersionThatFailsAFifthWithinTheGoal(int rate, int seconds) {
        List<Result> results = results(seed -> RolloutModel.run(rate, seconds, Version.FAILS_FIFTH, Day.USUAL, seed));
        assertThat(without(results, result -> result.newInCanary() <= GOAL * result.all()), is(empty()));
        assertThat(without(results, result -> result.shareInCanary() <= GOAL), is(empty()));
    }

    /** The same with so few requests that a wrong verdict shows. */
    @ParameterizedTest
    @CsvSource("140, 12")
    void keepsAVersionWithinTheGoalOfFewRequests(int rate, int seconds) {
        keepsAVersionThatFailsAFifthWithinTheGoal(rate, seconds);
    }

    /** A good version must not be rolled back on a day that is bad for the targets of both versions. */
    @ParameterizedTest
    @MethodSource("days")
    void movesToAGoodVersionInTime(int rate, int seconds, Day day) {
        List<Result> results = results(seed -> RolloutModel.run(rate, seconds, Version.GOOD, day, seed));
        long moved = results.stream()
                .filter(result -> result.movedAt() <= seconds && !result.rolledBack())
                .count();
        assertThat((int) moved, is(greaterThanOrEqualTo(MIN_GOOD)));
    }

    /** The same on days on which the sample is too small for the rate of bad answers, or all targets turn slow. */
    @ParameterizedTest
    @MethodSource("hardDays")
    void movesToAGoodVersionOnHardDays(int rate, int seconds, Day day) {
        movesToAGoodVersionInTime(rate, seconds, day);
    }

    /** Two dispatchers that do not know of each other must not add up to more than the bound. */
    @ParameterizedTest
    @CsvSource({
        "30, 12, FAILS_FIFTH",
        "30, 30, FAILS_FIFTH",
        "140, 12, FAILS_FIFTH",
        "140, 30, FAILS_LATER",
        "140, 120, SLOW_LATER",
        "1000, 12, FAILS_FIFTH",
        "1000, 30, FAILS_LATER"
    })
    void keepsTheBoundWithTwoDispatchers(int rate, int seconds, Version version) {
        List<Result> results = results(seed -> RolloutModel.runDivided(rate, seconds, version, seed));
        assertThat(
                "above the bound",
                without(results, result -> result.newRequests() <= result.exposureBound()),
                is(empty()));
    }

    private static List<Result> results(LongFunction<Result> run) {
        return LongStream.range(0, SEEDS).parallel().mapToObj(run).toList();
    }

    private static List<Result> without(List<Result> results, Predicate<Result> accepted) {
        return results.stream().filter(accepted.negate()).toList();
    }
}
