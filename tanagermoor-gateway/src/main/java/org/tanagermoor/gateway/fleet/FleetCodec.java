package org.tanagermoor.gateway.fleet;

import io.vavr.control.Either;
import java.util.Optional;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.rollout.RolloutOrder;
import org.tanagermoor.policy.rollout.RolloutPhase;

/** Decodes the rows that the control store holds about the fleet, and encodes those about its roll-outs. */
public interface FleetCodec {

    /** Returns the name of the operator table, which holds the configuration and the failure domains out of service. */
    String operatorTable();

    /** Returns the name of the table in which targets register. */
    String targetTable();

    /** Returns the key of the row of the operator table that holds the configuration. */
    String configurationKey();

    /**
     * Decodes a configuration.
     *
     * @param value The bytes of its row.
     * @return The configuration, or a failure that describes the error.
     */
    Either<Failure, FleetConfiguration> configuration(byte[] value);

    /**
     * Decodes the key of a row of the operator table that takes a failure domain out of service.
     *
     * @param key The key of the row.
     * @return The failure domain; empty if the row is about something else.
     */
    Optional<String> evacuatedDomain(String key);

    /**
     * Decodes the entry of a target.
     *
     * @param id The key of its row, which is the identity of the target.
     * @param value The bytes of its row.
     * @return The entry, or a failure that describes the error.
     */
    Either<Failure, TargetEntry> target(String id, byte[] value);

    /**
     * Decodes the key of a row of the operator table that orders a roll-out.
     *
     * @param key The key of the row.
     * @return The name of the service; empty if the row is about something else.
     */
    default Optional<String> rolloutService(String key) {
        return Optional.empty();
    }

    /**
     * Decodes an order for a roll-out.
     *
     * @param service The service that the key of the row names.
     * @param value The bytes of its row.
     * @return The order, or a failure that describes the first error of an invalid one.
     */
    default Either<Failure, RolloutOrder> rolloutOrder(String service, byte[] value) {
        return Either.left(Failure.notRun(
                Failure.Kind.INVALID, "store.rollout", "store", "the control store has no orders for roll-outs"));
    }

    /** Returns the name of the table in which operators read how their orders stand. */
    default String statusTable() {
        return "status";
    }

    /** Returns the key of the row of {@link #statusTable} about the roll-out of a service. */
    default String statusKey(String service) {
        return "rollout/" + service;
    }

    /**
     * Encodes how an order stands.
     *
     * @param order The order.
     * @param phase The phase of the roll-out.
     * @return The bytes of the row of {@link #statusTable}.
     */
    default byte[] status(RolloutOrder order, RolloutPhase phase) {
        return new byte[0];
    }
}
