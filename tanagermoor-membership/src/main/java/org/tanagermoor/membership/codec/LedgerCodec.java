package org.tanagermoor.membership.codec;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.List;
import java.util.function.Function;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.membership.proto.LedgerMessage;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.configuration.KeyGrant;
import org.tanagermoor.policy.configuration.Ledger;
import org.tanagermoor.policy.configuration.Preset;
import org.tanagermoor.policy.configuration.Service;
import org.tanagermoor.policy.configuration.Target;
import org.tanagermoor.policy.configuration.Team;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.View;
import org.tanagermoor.policy.standing.ViewChain;

/** Converts complete ledgers to and from their protobuf form, for snapshots and for peers that are far behind. */
public final class LedgerCodec {

    private LedgerCodec() {}

    /** Encodes a ledger with all values of its configuration and its chain of views. */
    public static LedgerMessage encode(Ledger ledger) {
        Configuration configuration = ledger.configuration();
        LedgerMessage.Builder message = LedgerMessage.newBuilder()
                .setVersion(configuration.version())
                .setChangeId(configuration.changeId())
                .setPresetInForce(configuration.presetInForce())
                .setView(FleetCodec.encode(configuration.view()))
                .setAccepted(ledger.chain().accepted());
        configuration.presets().values().forEach(preset -> message.addPresets(ValueCodec.encode(preset)));
        configuration.teams().values().forEach(team -> message.addTeams(ValueCodec.encode(team)));
        configuration.keys().values().forEach(key -> message.addKeys(ValueCodec.encode(key)));
        configuration.services().values().forEach(service -> message.addServices(ValueCodec.encode(service)));
        configuration.targets().values().forEach(target -> message.addTargets(ValueCodec.encode(target)));
        configuration.domainsOut().forEach(domain -> message.addDomainsOut(domain.value()));
        ledger.chain().views().forEach(view -> message.addChain(FleetCodec.encode(view)));
        return message.build();
    }

    /**
     * Decodes the bytes of a snapshot.
     *
     * @return The ledger, or a failure of kind {@link Failure.Kind#CORRUPT}.
     */
    public static Either<Failure, Ledger> decode(byte[] bytes) {
        try {
            return Either.right(decode(LedgerMessage.parseFrom(bytes)));
        } catch (InvalidProtocolBufferException exception) {
            return Either.left(
                    Failure.notRun(Failure.Kind.CORRUPT, "ledger.decode", Failure.LOCAL, "the snapshot is malformed"));
        }
    }

    /** Decodes a ledger. A message without a chain gets the current view as its chain. */
    public static Ledger decode(LedgerMessage message) {
        View view = FleetCodec.decode(message.getView());
        Vector<View> views = Vector.ofAll(message.getChainList()).map(FleetCodec::decode);
        Configuration configuration = new Configuration(
                message.getVersion(),
                message.getChangeId(),
                message.getPresetInForce(),
                map(message.getPresetsList(), ValueCodec::decode, Preset::name),
                map(message.getTeamsList(), ValueCodec::decode, Team::id),
                map(message.getKeysList(), ValueCodec::decode, KeyGrant::sha256),
                map(message.getServicesList(), ValueCodec::decode, Service::name),
                map(message.getTargetsList(), ValueCodec::decode, Target::id),
                HashSet.ofAll(message.getDomainsOutList()).map(FailureDomain::of),
                view);
        return new Ledger(
                configuration, new ViewChain(message.getAccepted(), views.isEmpty() ? Vector.of(view) : views));
    }

    /**
     * Decodes values into a map.
     *
     * @param key Returns the key of a value.
     */
    private static <M, K, V> Map<K, V> map(List<M> messages, Function<M, V> decode, Function<V, K> key) {
        Map<K, V> result = HashMap.empty();
        for (M message : messages) {
            V value = decode.apply(message);
            result = result.put(key.apply(value), value);
        }
        return result;
    }
}
