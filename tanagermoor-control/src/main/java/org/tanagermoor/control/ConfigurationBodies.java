package org.tanagermoor.control;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Map;
import java.util.Comparator;
import java.util.Locale;
import java.util.function.Function;
import org.tanagermoor.http.Json;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.configuration.EngineState;
import org.tanagermoor.policy.configuration.KeyGrant;
import org.tanagermoor.policy.configuration.Preset;
import org.tanagermoor.policy.configuration.Service;
import org.tanagermoor.policy.configuration.Target;
import org.tanagermoor.policy.configuration.Team;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.Member;

/** Converts the configuration and its parts to the JSON bodies that operators read. */
final class ConfigurationBodies {

    private ConfigurationBodies() {}

    /**
     * Returns the complete configuration.
     */
    static ObjectNode all(Configuration configuration) {
        ObjectNode node = object(configuration).put("change", configuration.changeId());
        node.setAll(presets(configuration));
        node.setAll(teams(configuration));
        node.setAll(services(configuration));
        node.setAll(targets(configuration));
        node.setAll(domains(configuration));
        ArrayNode members = node.putArray("members");
        configuration.view().members().values().forEach(member -> members.add(member(member)));
        return node;
    }

    /**
     * Returns the presets and the name of the one in force.
     */
    static ObjectNode presets(Configuration configuration) {
        ObjectNode node = object(configuration).put("preset_in_force", configuration.presetInForce());
        node.set("presets", list(configuration.presets(), Preset::name, ConfigurationBodies::preset));
        return node;
    }

    /**
     * Returns the teams with the SHA-256 of their keys.
     */
    static ObjectNode teams(Configuration configuration) {
        ObjectNode node = object(configuration);
        node.set("teams", list(configuration.teams(), team -> team.id().value(), team -> team(configuration, team)));
        return node;
    }

    static ObjectNode services(Configuration configuration) {
        ObjectNode node = object(configuration);
        node.set(
                "services",
                list(configuration.services(), service -> service.name().value(), ConfigurationBodies::service));
        return node;
    }

    static ObjectNode targets(Configuration configuration) {
        ObjectNode node = object(configuration);
        node.set("targets", list(configuration.targets(), target -> target.id().value(), ConfigurationBodies::target));
        return node;
    }

    /**
     * Returns the failure domains that have members or targets, and those that are taken out of service.
     */
    static ObjectNode domains(Configuration configuration) {
        ObjectNode node = object(configuration);
        ArrayNode domains = node.putArray("domains");
        configuration
                .view()
                .members()
                .values()
                .map(Member::domain)
                .appendAll(configuration.targets().values().map(Target::domain))
                .appendAll(configuration.domainsOut())
                .toSortedSet()
                .forEach(domain -> domains.add(domain(configuration, domain)));
        return node;
    }

    private static ObjectNode domain(Configuration configuration, FailureDomain domain) {
        return Json.mapper()
                .createObjectNode()
                .put("domain", domain.value())
                .put("out", configuration.isTakenOut(domain));
    }

    private static ObjectNode preset(Preset preset) {
        ObjectNode node = Json.mapper()
                .createObjectNode()
                .put("preset", preset.name())
                .put("batch_share", preset.batchShare())
                .put("online_reserve", preset.onlineReserve())
                .put("rate_factor", preset.rateFactor())
                .put("loads_per_minute", preset.loadsPerMinute());
        ObjectNode engines = node.putObject("engines");
        preset.engines().forEach((target, engine) -> engines.set(target.value(), engine(engine)));
        return node;
    }

    /**
     * Returns the state that a preset asks of a model engine.
     */
    private static ObjectNode engine(EngineState engine) {
        ObjectNode node = Json.mapper()
                .createObjectNode()
                .put("model", engine.model())
                .put("version", engine.version())
                .put("role", engine.role());
        ArrayNode adapters = node.putArray("adapters");
        engine.adapters().forEach(adapters::add);
        return node;
    }

    /**
     * Returns a team with the sorted SHA-256 of its keys, which the configuration holds apart from the team.
     */
    private static ObjectNode team(Configuration configuration, Team team) {
        ObjectNode node = Json.mapper()
                .createObjectNode()
                .put("team", team.id().value())
                .put("rate_per_second", team.ratePerSecond())
                .put("burst", team.burst())
                .put("weight", team.weight());
        ArrayNode keys = node.putArray("keys");
        configuration
                .keys()
                .values()
                .filter(grant -> grant.team().equals(team.id()))
                .map(KeyGrant::sha256)
                .sorted()
                .forEach(keys::add);
        return node;
    }

    private static ObjectNode service(Service service) {
        return Json.mapper()
                .createObjectNode()
                .put("service", service.name().value())
                .put("kind", service.kind().name().toLowerCase(Locale.ROOT))
                .put("open", service.open())
                .put("idempotent", service.idempotent());
    }

    private static ObjectNode target(Target target) {
        return Json.mapper()
                .createObjectNode()
                .put("target", target.id().value())
                .put("service", target.service().value())
                .put("domain", target.domain().value())
                .put("address", target.address().toString())
                .put("capacity", target.capacity())
                .put("cold_capacity", target.coldCapacity())
                .put("warm_up_ms", target.warmUpMillis())
                .put("checks_fencing", target.checksFencing());
    }

    private static ObjectNode member(Member member) {
        return Json.mapper()
                .createObjectNode()
                .put("instance", member.id().toString())
                .put("domain", member.domain().value())
                .put("peer_address", member.peerAddress().toString())
                .put("caller_address", member.callerAddress().toString())
                .put("leaving", member.leaving());
    }

    /**
     * Returns a new object that holds only the version of the configuration.
     */
    private static ObjectNode object(Configuration configuration) {
        return Json.mapper().createObjectNode().put("version", configuration.version());
    }

    /**
     * Converts the values of a map to an array, sorted by name.
     *
     * @param name Returns the name of a value.
     * @param convert Converts a value to JSON.
     */
    private static <K, V> ArrayNode list(Map<K, V> map, Function<V, String> name, Function<V, ObjectNode> convert) {
        ArrayNode node = Json.mapper().createArrayNode();
        map.values().sorted(Comparator.comparing(name)).map(convert).forEach(node::add);
        return node;
    }
}
