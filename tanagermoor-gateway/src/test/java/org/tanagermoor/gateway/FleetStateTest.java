package org.tanagermoor.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagermoor.gateway.fleet.FleetCodec;
import org.tanagermoor.gateway.fleet.FleetConfiguration;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.gateway.follow.ChangeFeed;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.setting.Address;

/** Which targets may get requests, by what the store and the targets themselves say. */
final class FleetStateTest {

    private final FleetState fleet = FleetState.of(new Codec(), new EventLog.Disabled(), () -> {});

    /** A target that says that it leaves is not used, until another incarnation has its identity. */
    @ParameterizedTest
    @CsvSource({"1, 1, false", "1, 2, true", "2, 1, true"})
    void doesNotUseAnIncarnationThatIsLeaving(long leavingStart, long nextStart, boolean usable) {
        register(1);
        fleet.leaving("t", leavingStart);
        assertThat(fleet.withLeaving(Set.of("other")), is(leavingStart == 1 ? Set.of("other", "t") : Set.of("other")));
        register(nextStart);
        assertThat(fleet.usableTarget("t").isPresent(), is(usable));
    }

    /** The mark outlives an entry that is missing for a while, for example after an outage of the store. */
    @ParameterizedTest
    @CsvSource({"1, false", "2, true"})
    void remembersALeavingTargetWhoseEntryIsMissing(long nextStart, boolean usable) {
        register(1);
        fleet.leaving("t", 1);
        fleet.targetsChanged(List.of(new ChangeFeed.Change("t", 2, null)), 0, Long.MAX_VALUE / 2);
        assertThat(fleet.leaving().isEmpty(), is(true));
        register(nextStart);
        assertThat(fleet.usableTarget("t").isPresent(), is(usable));
        assertThat(fleet.usable().isEmpty(), is(!usable));
    }

    /** Registers the target with a time of its start. */
    private void register(long start) {
        byte[] value = Long.toString(start).getBytes(StandardCharsets.UTF_8);
        fleet.targetsChanged(List.of(new ChangeFeed.Change("t", start, value)), 0, 0);
    }

    /** Rows that hold only the time of a target's start. */
    private static final class Codec implements FleetCodec {

        @Override
        public String operatorTable() {
            return "op";
        }

        @Override
        public String targetTable() {
            return "targets";
        }

        @Override
        public String configurationKey() {
            return "configuration";
        }

        @Override
        public Optional<String> evacuatedDomain(String key) {
            return Optional.empty();
        }

        @Override
        public Either<Failure, FleetConfiguration> configuration(byte[] value) {
            throw new AssertionError("no configuration is written");
        }

        @Override
        public Either<Failure, TargetEntry> target(String id, byte[] value) {
            long start = Long.parseLong(new String(value, StandardCharsets.UTF_8));
            return Either.right(new TargetEntry(id, "s", Address.of("127.0.0.1", 1), "lisbon", 1, false, 0, start));
        }
    }
}
