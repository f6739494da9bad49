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
 * A path pattern with named parameters.
 *
 * @param pattern Matches the paths, with one group for each parameter.
 * @param names The names of the parameters, in the order of their groups.
 */
record PathTemplate(Pattern pattern, List<String> names) {

    /** A parameter of a template: {@code {name}} or {@code {name:.*}}. */
    private static final Pattern PARAMETER = Pattern.compile("\\{([a-zA-Z]+)(:\\.\\*)?\\}");

    /**
     * Compiles a template.
     *
     * @param text The template, as for {@link HttpEndpoints#register}.
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

    /** Returns the path of a request target, without its query. */
    static String pathOf(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    boolean matches(String path) {
        return pattern.matcher(path).matches();
    }

    /**
     * Returns the parameters of a path.
     *
     * @param path A path that matches this template.
     * @return The percent-decoded values by name.
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
     * Percent-decodes a path segment. A plus sign stays, as it stands for a space only in queries.
     *
     * @return The decoded segment, or the segment itself if its encoding is malformed.
     */
    private static String decodeOrOriginal(String segment) {
        try {
            return URLDecoder.decode(segment.replace("+", "%2B"), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException exception) {
            return segment;
        }
    }
}
