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

/** The protobuf forms of the values of the configuration. */
final class ValueCodec {

    /** There are no instances. */
    private ValueCodec() {}

    /**
     * Encodes a preset.
     *
     * @param preset The preset.
     * @return Its message.
     */
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
     * Encodes what a preset wants of a model engine.
     *
     * @param target The target.
     * @param engine What is wanted of it.
     * @return Its message.
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

    /**
     * Decodes a preset.
     *
     * @param message The message.
     * @return The preset.
     */
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

    /**
     * Decodes what a preset wants of a model engine.
     *
     * @param message The message.
     * @return What is wanted.
     */
    private static EngineState decode(EngineMessage message) {
        return EngineState.of(message.getModel(), message.getVersion(), message.getAdaptersList(), message.getRole());
    }

    /**
     * Encodes a team.
     *
     * @param team The team.
     * @return Its message.
     */
    static TeamMessage encode(Team team) {
        return TeamMessage.newBuilder()
                .setId(team.id().value())
                .setRatePerSecond(team.ratePerSecond())
                .setBurst(team.burst())
                .setWeight(team.weight())
                .build();
    }

    /**
     * Decodes a team.
     *
     * @param message The message.
     * @return The team.
     */
    static Team decode(TeamMessage message) {
        return Team.of(TeamId.of(message.getId()), message.getRatePerSecond(), message.getBurst(), message.getWeight());
    }

    /**
     * Encodes a key.
     *
     * @param grant The grant of the key.
     * @return Its message.
     */
    static KeyMessage encode(KeyGrant grant) {
        return KeyMessage.newBuilder()
                .setSha256(grant.sha256())
                .setTeam(grant.team().value())
                .build();
    }

    /**
     * Decodes a key.
     *
     * @param message The message.
     * @return The grant of the key.
     */
    static KeyGrant decode(KeyMessage message) {
        return KeyGrant.of(message.getSha256(), TeamId.of(message.getTeam()));
    }

    /**
     * Encodes a service.
     *
     * @param service The service.
     * @return Its message.
     */
    static ServiceMessage encode(Service service) {
        return ServiceMessage.newBuilder()
                .setName(service.name().value())
                .setPlain(service.kind() == Service.Kind.PLAIN)
                .setOpen(service.open())
                .setIdempotent(service.idempotent())
                .build();
    }

    /**
     * Decodes a service.
     *
     * @param message The message.
     * @return The service.
     */
    static Service decode(ServiceMessage message) {
        return Service.of(
                ServiceName.of(message.getName()),
                message.getPlain() ? Service.Kind.PLAIN : Service.Kind.MODEL,
                message.getOpen(),
                message.getIdempotent());
    }

    /**
     * Encodes a target.
     *
     * @param target The target.
     * @return Its message.
     */
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

    /**
     * Decodes a target.
     *
     * @param message The message.
     * @return The target.
     */
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
