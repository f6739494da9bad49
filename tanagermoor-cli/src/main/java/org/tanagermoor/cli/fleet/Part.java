package org.tanagermoor.cli.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A part of a declared fleet: a service, a target, a team or a preset.
 *
 * @param kind The kind, which determines the fields.
 * @param name The name, unique within the kind.
 * @param body All fields except the name, with defaults filled in; must not be modified.
 */
record Part(PartKind kind, String name, ObjectNode body) {}
