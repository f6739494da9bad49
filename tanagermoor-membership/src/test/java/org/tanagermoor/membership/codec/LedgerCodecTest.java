package org.tanagermoor.membership.codec;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vavr.collection.HashMap;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.configuration.Change;
import org.tanagermoor.policy.configuration.EngineState;
import org.tanagermoor.policy.configuration.KeyGrant;
import org.tanagermoor.policy.configuration.Ledger;
import org.tanagermoor.policy.configuration.Preset;
import org.tanagermoor.policy.configuration.RecordedChange;
import org.tanagermoor.policy.configuration.Service;
import org.tanagermoor.policy.configuration.Target;
import org.tanagermoor.policy.configuration.Team;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.fleet.TeamId;

class LedgerCodecTest {

    private static final Address ADDRESS = Address.of("127.0.0.1", 9);

    static Stream<Change> changes() {
        return Stream.of(
                new Change.PutPreset(Preset.of("peak", 0.25, 0.5, 2)),
                new Change.PutPreset(Preset.of("night", 1, 0, 1)
                        .withEngines(
                                0.5, HashMap.of(TargetId.of("t"), EngineState.of("m", "2", List.of("a"), "decode")))),
                new Change.ActivatePreset("peak"),
                new Change.PutTeam(Team.of(TeamId.of("oak"), 5, 9, 1)),
                new Change.GiveKey(KeyGrant.of("a".repeat(64), TeamId.of("oak"))),
                new Change.TakeOut(FailureDomain.of("d")),
                new Change.PutService(Service.of(ServiceName.of("s"), Service.Kind.PLAIN, true, false)),
                new Change.PutTarget(new Target(
                        TargetId.of("t"), ServiceName.of("s"), FailureDomain.of("d"), ADDRESS, 4, 2, 1_000, true)),
                new Change.PutMember(Member.of(InstanceId.of("i", -5), FailureDomain.of("d"), ADDRESS, ADDRESS)
                        .withLeaving(true)),
                new Change.BringBack(FailureDomain.of("d")),
                new Change.WithdrawKey("a".repeat(64)),
                new Change.RemoveTarget(TargetId.of("t")),
                new Change.RemoveService(ServiceName.of("s")),
                new Change.RemoveMember(InstanceId.of("i", -5)),
                new Change.RemoveTeam(TeamId.of("oak")));
    }

    @ParameterizedTest
    @MethodSource("changes")
    void everyChangeSurvivesEncoding(Change change) {
        RecordedChange recorded = new RecordedChange(7, "id", 5, change);

        assertThat(
                ChangeCodec.decode(ChangeCodec.encode(recorded).toByteArray()).get(), is(recorded));
    }

    @Test
    void aLedgerSurvivesEncodingAfterEachChange() {
        Ledger ledger = Ledger.EMPTY;
        for (Change change : changes().toList()) {
            ledger = ledger.with(new RecordedChange(ledger.version() + 1, "id", 0, change))
                    .get();
            assertThat(
                    LedgerCodec.decode(LedgerCodec.encode(ledger).toByteArray()).get(), is(ledger));
        }
    }

    @Test
    void malformedBytesAreCorrupt() {
        assertThat(ChangeCodec.decode(new byte[] {1}).getLeft().kind(), is(Failure.Kind.CORRUPT));
        assertThat(ChangeCodec.decode(new byte[0]).getLeft().kind(), is(Failure.Kind.CORRUPT));
        assertThat(LedgerCodec.decode(new byte[] {1}).getLeft().kind(), is(Failure.Kind.CORRUPT));
    }
}
