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
 * @param name The name.
 * @param type What values it takes.
 * @param defaultValue The value where the field is missing, or a missing node where it must be given.
 */
record Field(String name, Type type, JsonNode defaultValue) {

    /**
     * Returns a field that must be given.
     *
     * @param name The name.
     * @param type What values it takes.
     * @return A field.
     */
    static Field required(String name, Type type) {
        return new Field(name, type, MissingNode.getInstance());
    }

    /**
     * Returns a text field with a fallback.
     *
     * @param name The name.
     * @param defaultValue The value where the field is missing.
     * @return A field.
     */
    static Field of(String name, String defaultValue) {
        return new Field(name, Type.TEXT, TextNode.valueOf(defaultValue));
    }

    /**
     * Returns a number field with a fallback.
     *
     * @param name The name.
     * @param defaultValue The value where the field is missing.
     * @return A field.
     */
    static Field of(String name, double defaultValue) {
        return new Field(name, Type.NUMBER, DoubleNode.valueOf(defaultValue));
    }

    /**
     * Returns a field of a whole number with a fallback.
     *
     * @param name The name.
     * @param defaultValue The value where the field is missing.
     * @return A field.
     */
    static Field of(String name, long defaultValue) {
        return new Field(name, Type.WHOLE, LongNode.valueOf(defaultValue));
    }

    /**
     * Returns a field of a truth value with a fallback.
     *
     * @param name The name.
     * @param defaultValue The value where the field is missing.
     * @return A field.
     */
    static Field of(String name, boolean defaultValue) {
        return new Field(name, Type.FLAG, BooleanNode.valueOf(defaultValue));
    }

    /**
     * Returns a field of an object, which is empty where the field is missing.
     *
     * @param name The name.
     * @return A field.
     */
    static Field ofObject(String name) {
        return new Field(name, Type.OBJECT, JsonNodeFactory.instance.objectNode());
    }

    /** What values a field takes. */
    enum Type {

        /** A text. */
        TEXT("must be a text"),

        /** A number. */
        NUMBER("must be a number"),

        /** A whole number. */
        WHOLE("must be a whole number"),

        /** A truth value. */
        FLAG("must be true or false"),

        /** An object. */
        OBJECT("must be an object");

        /** What to say of another value. */
        private final String requirement;

        /**
         * Creates a type.
         *
         * @param requirement What to say of another value.
         */
        Type(String requirement) {
            this.requirement = requirement;
        }

        /**
         * Returns what to say of another value.
         *
         * @return What to say of another value.
         */
        String requirement() {
            return requirement;
        }

        /**
         * Returns whether a value is of this type.
         *
         * @param value The value.
         * @return Whether it is.
         */
        boolean accepts(JsonNode value) {
            return switch (this) {
                case TEXT -> value.isTextual();
                case NUMBER -> value.isNumber();
                case WHOLE -> value.isIntegralNumber() && value.canConvertToInt();
                case FLAG -> value.isBoolean();
                case OBJECT -> value.isObject();
            };
        }

        /**
         * Returns whether two values of this type are equal, in whatever way their numbers are written.
         *
         * @param one A value.
         * @param other Another value.
         * @return Whether they are equal.
         */
        boolean equal(JsonNode one, JsonNode other) {
            boolean numbers = one.isNumber() && other.isNumber();
            return numbers ? Double.compare(one.asDouble(), other.asDouble()) == 0 : one.equals(other);
        }
    }
}
