package org.tanagermoor.gateway.rollout;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Set;
import java.util.TreeSet;
import org.tanagermoor.gateway.proto.RolloutRow;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.rollout.RolloutOrder;
import org.tanagermoor.policy.rollout.RolloutPhase;

/** Converts the states of roll-outs to and from rows. */
final class RolloutCodec {

    private RolloutCodec() {}

    /** Writes a state as the bytes of a row. */
    static byte[] toRow(RolloutState state) {
        RolloutRow.Builder row = RolloutRow.newBuilder()
                .setOrderRevision(state.revision())
                .setService(state.order().service())
                .setVersion(state.order().version())
                .setDurationMillis(state.order().duration().toMillis())
                .addAllReplaced(new TreeSet<>(state.replaced()))
                .setElapsedMillis(state.elapsed().toMillis())
                .setNewRequests(state.newRequests())
                .setNewBadAnswers(state.newBadAnswers())
                .setWriter(state.writer());
        switch (state.phase()) {
            case RolloutPhase.Canary canary -> row.setPhase(RolloutRow.Phase.CANARY);
            case RolloutPhase.Moving moving -> row.setPhase(RolloutRow.Phase.MOVING);
            case RolloutPhase.Completed completed -> row.setPhase(RolloutRow.Phase.COMPLETED);
            case RolloutPhase.RolledBack rolledBack ->
                row.setPhase(RolloutRow.Phase.ROLLED_BACK).setReason(rolledBack.reason());
        }
        return row.build().toByteArray();
    }

    /**
     * Reads a state.
     *
     * @param service The key of the row, which is the name of the service.
     * @param value The bytes of the row.
     * @return The state, or a failure if the row is malformed or has a phase that this program does not know.
     */
    static Either<Failure, RolloutState> fromRow(String service, byte[] value) {
        try {
            RolloutRow row = RolloutRow.parseFrom(value);
            if (!row.getService().equals(service) || row.getVersion().isEmpty() || row.getDurationMillis() <= 0) {
                return Either.left(unreadable("the row is not one about service " + service));
            }
            RolloutPhase phase =
                    switch (row.getPhase()) {
                        case CANARY -> new RolloutPhase.Canary();
                        case MOVING -> new RolloutPhase.Moving();
                        case COMPLETED -> new RolloutPhase.Completed();
                        case ROLLED_BACK -> new RolloutPhase.RolledBack(row.getReason());
                        case UNRECOGNIZED -> null;
                    };
            if (phase == null) {
                return Either.left(unreadable("the phase " + row.getPhaseValue() + " is not known"));
            }
            return Either.right(new RolloutState(
                    row.getOrderRevision(),
                    new RolloutOrder(service, row.getVersion(), Duration.ofMillis(row.getDurationMillis())),
                    phase,
                    Set.copyOf(row.getReplacedList()),
                    Duration.ofMillis(row.getElapsedMillis()),
                    row.getNewRequests(),
                    row.getNewBadAnswers(),
                    row.getWriter()));
        } catch (InvalidProtocolBufferException exception) {
            return Either.left(unreadable(String.valueOf(exception.getMessage())));
        }
    }

    private static Failure unreadable(String detail) {
        return Failure.notRun(Failure.Kind.INVALID, "rollout.row", "store", detail);
    }
}
