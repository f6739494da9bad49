package org.tanagermoor.cli.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import com.fasterxml.jackson.databind.node.DoubleNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.LongNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.TextNode;

/**
 * A field of a declared part.
 *
 * @param name The name in JSON.
 * @param type The values that it accepts.
 * @param defaultValue The value if the field is missing; a missing node if the field is required.
 */
record Field(String name, Type type, JsonNode defaultValue) {

    /** Returns a field without a default value. */
    static Field required(String name, Type type) {
        return new Field(name, type, MissingNode.getInstance());
    }

    static Field of(String name, String defaultValue) {
        return new Field(name, Type.TEXT, TextNode.valueOf(defaultValue));
    }

    static Field of(String name, double defaultValue) {
        return new Field(name, Type.NUMBER, DoubleNode.valueOf(defaultValue));
    }

    static Field of(String name, long defaultValue) {
        return new Field(name, Type.WHOLE, LongNode.valueOf(defaultValue));
    }

    static Field of(String name, boolean defaultValue) {
        return new Field(name, Type.FLAG, BooleanNode.valueOf(defaultValue));
    }

    /** Returns an object field that defaults to an empty object. */
    static Field ofObject(String name) {
        return new Field(name, Type.OBJECT, JsonNodeFactory.instance.objectNode());
    }

    /** The types of values that a field accepts. */
    enum Type {
        TEXT("must be a text"),

        NUMBER("must be a number"),

        /** An integer of 32 bits. */
        WHOLE("must be a whole number"),

        FLAG("must be true or false"),

        OBJECT("must be an object");

        /** The message for a value of another type. */
        private final String requirement;

        Type(String requirement) {
            this.requirement = requirement;
        }

        String requirement() {
            return requirement;
        }

        boolean accepts(JsonNode value) {
            return switch (this) {
                case TEXT -> value.isTextual();
                case NUMBER -> value.isNumber();
                case WHOLE -> value.isIntegralNumber() && value.canConvertToInt();
                case FLAG -> value.isBoolean();
                case OBJECT -> value.isObject();
            };
        }

        /** Returns whether two values are equal. Numbers are compared by value, so 10 equals 10.0. */
        boolean equal(JsonNode one, JsonNode other) {
            boolean numbers = one.isNumber() && other.isNumber();
            return numbers ? Double.compare(one.asDouble(), other.asDouble()) == 0 : one.equals(other);
        }
    }
}
