package org.tanagermoor.membership.codec;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.membership.proto.ChangeMessage;
import org.tanagermoor.policy.configuration.Change;
import org.tanagermoor.policy.configuration.RecordedChange;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.fleet.TeamId;

/** Converts recorded changes to and from their protobuf form. */
public final class ChangeCodec {

    /** The step that failures name. */
    private static final String STEP = "change.decode";

    private ChangeCodec() {}

    /** Encodes a recorded change for the store and for peers. */
    public static ChangeMessage encode(RecordedChange recorded) {
        ChangeMessage.Builder message = ChangeMessage.newBuilder()
                .setVersion(recorded.version())
                .setChangeId(recorded.changeId())
                .setAccepted(recorded.accepted());
        return switch (recorded.change()) {
            case Change.PutPreset put ->
                message.setPutPreset(ValueCodec.encode(put.preset())).build();
            case Change.ActivatePreset activate ->
                message.setActivatePreset(activate.name()).build();
            case Change.PutTeam put ->
                message.setPutTeam(ValueCodec.encode(put.team())).build();
            case Change.RemoveTeam remove ->
                message.setRemoveTeam(remove.team().value()).build();
            case Change.GiveKey give ->
                message.setGiveKey(ValueCodec.encode(give.grant())).build();
            case Change.WithdrawKey withdraw ->
                message.setWithdrawKey(withdraw.sha256()).build();
            case Change.TakeOut out -> message.setTakeOut(out.domain().value()).build();
            case Change.BringBack back ->
                message.setBringBack(back.domain().value()).build();
            case Change.PutService put ->
                message.setPutService(ValueCodec.encode(put.service())).build();
            case Change.RemoveService remove ->
                message.setRemoveService(remove.service().value()).build();
            case Change.PutTarget put ->
                message.setPutTarget(ValueCodec.encode(put.target())).build();
            case Change.RemoveTarget remove ->
                message.setRemoveTarget(remove.target().value()).build();
            case Change.PutMember put ->
                message.setPutMember(FleetCodec.encode(put.member())).build();
            case Change.RemoveMember remove ->
                message.setRemoveMember(FleetCodec.encode(remove.id())).build();
        };
    }

    /**
     * Decodes a recorded change.
     *
     * @return The recorded change, or a failure of kind {@link Failure.Kind#CORRUPT}.
     */
    public static Either<Failure, RecordedChange> decode(ChangeMessage message) {
        return change(message)
                .map(change ->
                        new RecordedChange(message.getVersion(), message.getChangeId(), message.getAccepted(), change));
    }

    /**
     * Decodes the bytes of a recorded change.
     *
     * @return The recorded change, or a failure of kind {@link Failure.Kind#CORRUPT}.
     */
    public static Either<Failure, RecordedChange> decode(byte[] bytes) {
        try {
            return decode(ChangeMessage.parseFrom(bytes));
        } catch (InvalidProtocolBufferException exception) {
            return corrupt("the change is malformed: " + exception.getMessage());
        }
    }

    /** Decodes the change in a message. */
    private static Either<Failure, Change> change(ChangeMessage message) {
        return switch (message.getChangeCase()) {
            case PUT_PRESET -> Either.right(new Change.PutPreset(ValueCodec.decode(message.getPutPreset())));
            case ACTIVATE_PRESET -> Either.right(new Change.ActivatePreset(message.getActivatePreset()));
            case PUT_TEAM -> Either.right(new Change.PutTeam(ValueCodec.decode(message.getPutTeam())));
            case REMOVE_TEAM -> Either.right(new Change.RemoveTeam(TeamId.of(message.getRemoveTeam())));
            case GIVE_KEY -> Either.right(new Change.GiveKey(ValueCodec.decode(message.getGiveKey())));
            case WITHDRAW_KEY -> Either.right(new Change.WithdrawKey(message.getWithdrawKey()));
            case TAKE_OUT -> Either.right(new Change.TakeOut(FailureDomain.of(message.getTakeOut())));
            case BRING_BACK -> Either.right(new Change.BringBack(FailureDomain.of(message.getBringBack())));
            case PUT_SERVICE -> Either.right(new Change.PutService(ValueCodec.decode(message.getPutService())));
            case REMOVE_SERVICE -> Either.right(new Change.RemoveService(ServiceName.of(message.getRemoveService())));
            case PUT_TARGET -> Either.right(new Change.PutTarget(ValueCodec.decode(message.getPutTarget())));
            case REMOVE_TARGET -> Either.right(new Change.RemoveTarget(TargetId.of(message.getRemoveTarget())));
            case PUT_MEMBER -> Either.right(new Change.PutMember(FleetCodec.decode(message.getPutMember())));
            case REMOVE_MEMBER -> Either.right(new Change.RemoveMember(FleetCodec.decode(message.getRemoveMember())));
            case CHANGE_NOT_SET -> corrupt("the kind of the change is unknown here");
        };
    }

    /**
     * Returns a failure for a malformed change.
     *
     * @param detail A description of what is wrong.
     */
    private static <T> Either<Failure, T> corrupt(String detail) {
        return Either.left(Failure.notRun(Failure.Kind.CORRUPT, STEP, Failure.LOCAL, detail));
    }
}
