package org.tanagermoor.http;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A path with named parts.
 *
 * @param pattern Matches the paths.
 * @param names The names of the parts in order.
 */
record PathTemplate(Pattern pattern, List<String> names) {

    /** A named part of a template. */
    private static final Pattern PARAMETER = Pattern.compile("\\{([a-zA-Z]+)(:\\.\\*)?\\}");

    /**
     * Reads a template.
     *
     * @param text The template, as for {@link HttpEndpoints#register}.
     * @return The template.
     */
    static PathTemplate of(String text) {
        StringBuilder pattern = new StringBuilder();
        List<String> names = new ArrayList<>();
        Matcher matcher = PARAMETER.matcher(text);
        int end = 0;
        while (matcher.find()) {
            pattern.append(Pattern.quote(text.substring(end, matcher.start())));
            pattern.append(matcher.group(2) == null ? "([^/]+)" : "(.*)");
            names.add(matcher.group(1));
            end = matcher.end();
        }
        pattern.append(Pattern.quote(text.substring(end)));
        return new PathTemplate(Pattern.compile(pattern.toString()), List.copyOf(names));
    }

    /**
     * Returns the path of a request, without its query.
     *
     * @param uri The target of the request.
     * @return The path.
     */
    static String pathOf(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /**
     * Returns whether a path is of this form.
     *
     * @param path The path.
     * @return Whether it is of this form.
     */
    boolean matches(String path) {
        return pattern.matcher(path).matches();
    }

    /**
     * Returns the named parts of a path.
     *
     * @param path A path of this form.
     * @return The parts, decoded, by name.
     */
    Map<String, String> parameters(String path) {
        Matcher matcher = pattern.matcher(path);
        Map<String, String> result = new HashMap<>();
        if (matcher.matches()) {
            for (int index = 0; index < names.size(); index++) {
                result.put(names.get(index), decodeOrOriginal(matcher.group(index + 1)));
            }
        }
        return result;
    }

    /**
     * Decodes a part of a path.
     *
     * @param segment The part.
     * @return The decoded part, or the part itself where it is not well encoded.
     */
    private static String decodeOrOriginal(String segment) {
        try {
            return URLDecoder.decode(segment.replace("+", "%2B"), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException exception) {
            return segment;
        }
    }
}
