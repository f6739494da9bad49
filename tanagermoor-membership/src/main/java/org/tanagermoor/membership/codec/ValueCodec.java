package org.tanagermoor.membership.codec;

import io.vavr.Tuple;
import io.vavr.Tuple2;
import io.vavr.collection.HashMap;
import java.util.Comparator;
import org.tanagermoor.membership.proto.EngineMessage;
import org.tanagermoor.membership.proto.KeyMessage;
import org.tanagermoor.membership.proto.PresetMessage;
import org.tanagermoor.membership.proto.ServiceMessage;
import org.tanagermoor.membership.proto.TargetMessage;
import org.tanagermoor.membership.proto.TeamMessage;
import org.tanagermoor.policy.configuration.EngineState;
import org.tanagermoor.policy.configuration.KeyGrant;
import org.tanagermoor.policy.configuration.Preset;
import org.tanagermoor.policy.configuration.Service;
import org.tanagermoor.policy.configuration.Target;
import org.tanagermoor.policy.configuration.Team;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.fleet.TeamId;

/** Converts the values of the configuration to and from their protobuf form. */
final class ValueCodec {

    private ValueCodec() {}

    static PresetMessage encode(Preset preset) {
        PresetMessage.Builder message = PresetMessage.newBuilder()
                .setName(preset.name())
                .setBatchShare(preset.batchShare())
                .setOnlineReserve(preset.onlineReserve())
                .setRateFactor(preset.rateFactor())
                .setLoadsPerMinute(preset.loadsPerMinute());
        preset.engines()
                .toSortedMap(Comparator.comparing(TargetId::value), Tuple2::_1, Tuple2::_2)
                .forEach((target, engine) -> message.addEngines(encode(target, engine)));
        return message.build();
    }

    /**
     * Encodes the state in which a preset wants a model engine.
     *
     * @param engine The wanted state.
     */
    private static EngineMessage encode(TargetId target, EngineState engine) {
        return EngineMessage.newBuilder()
                .setTarget(target.value())
                .setModel(engine.model())
                .setVersion(engine.version())
                .addAllAdapters(engine.adapters())
                .setRole(engine.role())
                .build();
    }

    /** Decodes a preset. A message without a load rate gets the default rate. */
    static Preset decode(PresetMessage message) {
        Preset preset = Preset.of(
                message.getName(), message.getBatchShare(), message.getOnlineReserve(), message.getRateFactor());
        double loads = message.getLoadsPerMinute() > 0 ? message.getLoadsPerMinute() : Preset.DEFAULT_LOADS_PER_MINUTE;
        return preset.withEngines(
                loads,
                HashMap.ofEntries(message.getEnginesList().stream()
                        .map(engine -> Tuple.of(TargetId.of(engine.getTarget()), decode(engine)))
                        .toList()));
    }

    /** Decodes the state in which a preset wants a model engine. */
    private static EngineState decode(EngineMessage message) {
        return EngineState.of(message.getModel(), message.getVersion(), message.getAdaptersList(), message.getRole());
    }

    static TeamMessage encode(Team team) {
        return TeamMessage.newBuilder()
                .setId(team.id().value())
                .setRatePerSecond(team.ratePerSecond())
                .setBurst(team.burst())
                .setWeight(team.weight())
                .build();
    }

    static Team decode(TeamMessage message) {
        return Team.of(TeamId.of(message.getId()), message.getRatePerSecond(), message.getBurst(), message.getWeight());
    }

    static KeyMessage encode(KeyGrant grant) {
        return KeyMessage.newBuilder()
                .setSha256(grant.sha256())
                .setTeam(grant.team().value())
                .build();
    }

    static KeyGrant decode(KeyMessage message) {
        return KeyGrant.of(message.getSha256(), TeamId.of(message.getTeam()));
    }

    static ServiceMessage encode(Service service) {
        return ServiceMessage.newBuilder()
                .setName(service.name().value())
                .setPlain(service.kind() == Service.Kind.PLAIN)
                .setOpen(service.open())
                .setIdempotent(service.idempotent())
                .build();
    }

    static Service decode(ServiceMessage message) {
        return Service.of(
                ServiceName.of(message.getName()),
                message.getPlain() ? Service.Kind.PLAIN : Service.Kind.MODEL,
                message.getOpen(),
                message.getIdempotent());
    }

    static TargetMessage encode(Target target) {
        return TargetMessage.newBuilder()
                .setId(target.id().value())
                .setService(target.service().value())
                .setDomain(target.domain().value())
                .setAddress(FleetCodec.encode(target.address()))
                .setCapacity(target.capacity())
                .setColdCapacity(target.coldCapacity())
                .setWarmUpMillis(target.warmUpMillis())
                .setChecksFencing(target.checksFencing())
                .build();
    }

    static Target decode(TargetMessage message) {
        return new Target(
                TargetId.of(message.getId()),
                ServiceName.of(message.getService()),
                FailureDomain.of(message.getDomain()),
                FleetCodec.decode(message.getAddress()),
                message.getCapacity(),
                message.getColdCapacity(),
                message.getWarmUpMillis(),
                message.getChecksFencing());
    }
}
