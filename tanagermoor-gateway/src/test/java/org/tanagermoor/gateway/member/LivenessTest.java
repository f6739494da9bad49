package org.tanagermoor.gateway.member;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.fleet.InstanceId;

/** Tests what instances learn of each other through heartbeats. */
final class LivenessTest {

    /** The current time in nanoseconds. */
    private long now = TimeUnit.SECONDS.toNanos(500);

    /** The view of instance {@code a}. */
    private final Liveness liveness = Liveness.of(instance("a", 1));

    /** An instance serves as long as its last heartbeat, including the age with which it arrived, is not too old. */
    @Test
    void dropsASilentInstance() {
        liveness.observe(new Liveness.Heartbeat(instance("b", 1), millis(500), false), now);
        now += Liveness.SILENCE_NANOS - millis(500);
        assertThat(names(liveness.serving(now)), containsInAnyOrder("a", "b"));
        now += millis(1);
        assertThat(names(liveness.serving(now)), contains("a"));
    }

    /** A later run of an instance replaces an earlier one at once. */
    @Test
    void knowsThatARestartEndsTheEarlierRun() {
        liveness.observe(new Liveness.Heartbeat(instance("b", 1), millis(100), false), now);
        now += millis(50);
        liveness.observe(new Liveness.Heartbeat(instance("b", 2), 0, false), now);
        assertThat(liveness.runs(InstanceId.of("b", 1), now), is(false));
        assertThat(liveness.runs(InstanceId.of("b", 2), now), is(true));
    }

    /** A run that is silent may go on beyond a cut; one that is stopping, or was followed by a later one, does not. */
    @Test
    void tellsAnEndedRunFromASilentOne() {
        liveness.observe(new Liveness.Heartbeat(instance("b", 1), millis(100), false), now);
        liveness.observe(new Liveness.Heartbeat(instance("c", 1), 0, false), now);
        liveness.observe(new Liveness.Heartbeat(instance("d", 1), 0, false), now);
        now += Liveness.SILENCE_NANOS + millis(50);
        assertThat(liveness.known(now), containsInAnyOrder("b", "c", "d"));
        assertThat(liveness.ended(InstanceId.of("b", 1)), is(false));
        liveness.observe(new Liveness.Heartbeat(instance("b", 2), 0, false), now);
        liveness.observe(new Liveness.Heartbeat(instance("c", 1), 0, true), now);
        assertThat(liveness.ended(InstanceId.of("b", 1)), is(true));
        assertThat(liveness.ended(InstanceId.of("c", 1)), is(true));
        assertThat(liveness.ended(InstanceId.of("d", 1)), is(false));
        assertThat(liveness.known(now), containsInAnyOrder("b", "d"));
    }

    /** An instance of which only a row was read is known, but was not heard of. */
    @Test
    void knowsACandidateOfWhichItHasNotHeard() {
        liveness.addCandidate(instance("b", 1), now);
        assertThat(liveness.known(now), contains("b"));
        assertThat(liveness.heard(now), is(0));
        liveness.observe(new Liveness.Heartbeat(instance("b", 1), 0, false), now);
        assertThat(liveness.heard(now), is(1));
    }

    /** An instance that is stopping no longer serves, though it still runs. */
    @Test
    void doesNotServeWhileStopping() {
        liveness.observe(new Liveness.Heartbeat(instance("b", 1), 0, true), now);
        liveness.observe(new Liveness.Heartbeat(instance("b", 1), 0, false), now);
        assertThat(names(liveness.serving(now)), contains("a"));
        assertThat(names(liveness.running(now)), contains("b"));
    }

    /** A candidate without a heartbeat is tried as a silent instance, but does not serve. */
    @Test
    void doesNotServeACandidate() {
        liveness.addCandidate(instance("b", 1), now);
        assertThat(names(liveness.serving(now)), contains("a"));
        assertThat(names(liveness.silent(now)), contains("b"));
    }

    /**
     * In fleets of several sizes, the end of an instance is known everywhere in time, and no other instance is dropped.
     */
    @ParameterizedTest
    @CsvSource({"3, 1", "11, 2", "13, 3", "90, 4", "90, 5"})
    void learnsOfAnEndInTime(int size, long seed) {
        Random random = new Random(seed);
        List<Liveness> fleet = new ArrayList<>();
        for (int index = 0; index < size; index++) {
            fleet.add(Liveness.of(instance("i" + index, 1)));
        }
        fleet.forEach(view ->
                fleet.forEach(other -> view.observe(new Liveness.Heartbeat(other.self(), 0, false), now)));
        for (int round = 0; round < 50; round++) {
            gossip(fleet, random);
            fleet.forEach(view -> assertThat(view.serving(now).size(), is(size)));
        }
        Liveness lost = fleet.remove(0);
        long end = now;
        while (fleet.stream().anyMatch(view -> view.runs(lost.self().id(), now))) {
            gossip(fleet, random);
        }
        assertThat(now - end, is(lessThanOrEqualTo(millis(6_000))));
        fleet.forEach(view -> assertThat(view.serving(now).size(), is(size - 1)));
    }

    /** Lets each view exchange heartbeats with a random other one. */
    private void gossip(List<Liveness> fleet, Random random) {
        now += millis(600);
        for (Liveness view : fleet) {
            Liveness other = fleet.get(random.nextInt(fleet.size()));
            other.heartbeats(now).forEach(heartbeat -> view.observe(heartbeat, now));
            view.heartbeats(now).forEach(heartbeat -> other.observe(heartbeat, now));
        }
    }

    /** An incarnation alone keeps a known instance alive, and an unknown one asks for the complete description. */
    @Test
    void handlesAbbreviatedHeartbeats() {
        liveness.observe(new Liveness.Heartbeat(instance("b", 7), 0, false), now);
        now += millis(3_000);
        assertThat(liveness.observe(7, millis(100), now), is(true));
        assertThat(liveness.observe(8, millis(100), now), is(false));
        now += millis(3_000);
        assertThat(names(liveness.serving(now)), containsInAnyOrder("a", "b"));
        now += Liveness.SILENCE_NANOS;
        assertThat(names(liveness.serving(now)), contains("a"));
        assertThat(liveness.observe(7, 0, now), is(true));
        assertThat(names(liveness.serving(now)), containsInAnyOrder("a", "b"));
    }

    /** The complete description of an instance is passed on at first, and again when the instance is stopping. */
    @Test
    void passesOnChangesInFull() {
        liveness.observe(new Liveness.Heartbeat(instance("b", 7), 0, false), now);
        assertThat(liveness.heartbeats(now).get(1).recentlyChanged(), is(true));
        now += millis(5_000);
        liveness.observe(7, 0, now);
        assertThat(liveness.heartbeats(now).get(1).recentlyChanged(), is(false));
        liveness.observe(new Liveness.Heartbeat(instance("b", 7), 0, true), now);
        assertThat(liveness.heartbeats(now).get(1).recentlyChanged(), is(true));
    }

    /**
     * A restart does not make an instance the dispatcher again, and a weak machine is the dispatcher only if no other
     * serves.
     */
    @ParameterizedTest
    @CsvSource({"0, 1.5, 20000, 1.5, a", "20000, 1.5, 0, 1.5, b", "0, 0.36, 20000, 1.5, b", "0, 0.36, 20000, 0.36, a"})
    void ranksDispatchersByStrengthAndStart(
            long startOfA, double shareOfA, long startOfB, double shareOfB, String expected) {
        Liveness view = Liveness.of(instance("a", startOfA, shareOfA));
        view.observe(new Liveness.Heartbeat(instance("b", startOfB, shareOfB), 0, false), now);
        assertThat(view.dispatcher(now).id().name(), is(expected));
    }

    /** Returns an instance with a start time and a processor share. */
    private static Instance instance(String name, long startedMillis, double share) {
        return new Instance(
                InstanceId.of(name, 1),
                Address.of("127.0.0.1", 1),
                Address.of("127.0.0.1", 2),
                "lisbon-a",
                startedMillis,
                share);
    }

    private static List<String> names(Collection<Instance> instances) {
        return instances.stream().map(instance -> instance.id().name()).toList();
    }

    /** Returns a run of an instance whose start time is 0 and whose processor share is 1 core. */
    private static Instance instance(String name, long incarnation) {
        return new Instance(
                InstanceId.of(name, incarnation),
                Address.of("127.0.0.1", 1),
                Address.of("127.0.0.1", 2),
                "lisbon-a",
                0,
                1);
    }

    /** Converts milliseconds to nanoseconds. */
    private static long millis(long value) {
        return TimeUnit.MILLISECONDS.toNanos(value);
    }
}
