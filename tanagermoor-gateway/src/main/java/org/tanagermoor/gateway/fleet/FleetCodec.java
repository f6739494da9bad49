package org.tanagermoor.gateway.fleet;

import io.vavr.control.Either;
import java.util.Optional;
import org.tanagermoor.kernel.failure.Failure;

/** Decodes the rows that the control store holds about the fleet. */
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
}
