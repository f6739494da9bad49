package org.tanagermoor.gateway.member;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.gateway.proto.MemberSign;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.fleet.InstanceId;

/** Converts heartbeats to and from messages. */
public final class MemberCodec {

    /** The number of hundredths in a core, since messages carry processor shares in hundredths. */
    private static final double PERCENT = 100;

    private MemberCodec() {}

    /** Writes a heartbeat with the complete description of its instance. */
    public static MemberSign toMessage(Liveness.Heartbeat heartbeat) {
        Instance instance = heartbeat.instance();
        return MemberSign.newBuilder()
                .setName(instance.id().name())
                .setIncarnation(instance.id().incarnation())
                .setPeerAddress(instance.peer().toString())
                .setCallerAddress(instance.caller().toString())
                .setDomain(instance.domain())
                .setStartedMillis(instance.startedMillis())
                .setProcessorPercent((int) Math.round(instance.processorShare() * PERCENT))
                .setAgeMillis((int) TimeUnit.NANOSECONDS.toMillis(heartbeat.ageNanos()))
                .setStopping(heartbeat.stopping())
                .build();
    }

    /** Reads a heartbeat; empty if an address is malformed. */
    public static Optional<Liveness.Heartbeat> fromMessage(MemberSign message) {
        Either<String, Address> peer = Address.parse(message.getPeerAddress());
        Either<String, Address> caller = Address.parse(message.getCallerAddress());
        if (peer.isLeft() || caller.isLeft()) {
            return Optional.empty();
        }
        Instance instance = new Instance(
                InstanceId.of(message.getName(), message.getIncarnation()),
                peer.get(),
                caller.get(),
                message.getDomain(),
                message.getStartedMillis(),
                message.getProcessorPercent() / PERCENT);
        return Optional.of(new Liveness.Heartbeat(
                instance,
                TimeUnit.MILLISECONDS.toNanos(Integer.toUnsignedLong(message.getAgeMillis())),
                message.getStopping()));
    }
}
