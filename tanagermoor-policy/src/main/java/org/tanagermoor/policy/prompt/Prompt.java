package org.tanagermoor.policy.prompt;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * The parts of a prompt, each named by its identity, and the content of the request that has it.
 *
 * @param shared The parts that other requests may also have, in their order.
 * @param own The last part, which belongs to the request or its session; empty if there is none.
 * @param content The fingerprint of all that a target reads of the request, which is the same whenever the request is
 *     sent again; empty if it is unknown. It begins with {@link #CONTENT_PREFIX}.
 */
public record Prompt(List<String> shared, String own, String content) {

    /** The prompt of a request that does not name any parts. */
    public static final Prompt NONE = new Prompt(List.of(), "");

    /** The beginning of a fingerprint. The identity of a part has no colon. */
    public static final String CONTENT_PREFIX = "request:";

    /** The beginning of the mark of a last part. */
    private static final String LAST_PREFIX = "last:";

    /** The maximum number of shared parts that are kept, which bounds the state for each request. */
    private static final int MAX_SHARED_PARTS = 32;

    /** The maximum number of characters of a part's identity. */
    private static final int MAX_PART_CHARS = 128;

    /** Creates the prompt of a request whose content is unknown. */
    public Prompt(List<String> shared, String own) {
        this(shared, own, "");
    }

    /**
     * Returns the prompt that is composed of the given parts.
     *
     * @param parts The identities of the parts in their order, the request's own part last.
     * @return The prompt, without parts that exceed the limits or whose identity is not visible ASCII text.
     */
    public static Prompt of(List<String> parts) {
        if (parts.isEmpty()) {
            return NONE;
        }
        int last = parts.size() - 1;
        List<String> shared = parts.subList(0, last).stream()
                .filter(Prompt::fits)
                .limit(MAX_SHARED_PARTS)
                .toList();
        return new Prompt(shared, fits(parts.get(last)) ? parts.get(last) : "");
    }

    /** Returns this prompt with the fingerprint of its request. */
    public Prompt withContent(String value) {
        return new Prompt(shared, own, value);
    }

    /**
     * Returns the marks by which a request is recognized that harms targets: its shared parts, its last part, and its
     * content, in this order. Fewer requests have a later mark than an earlier one. The mark of a last part differs
     * from that of the same part at another position.
     */
    public List<String> marks() {
        List<String> marks = new ArrayList<>(shared);
        if (!own.isEmpty()) {
            marks.add(LAST_PREFIX + own);
        }
        if (!content.isEmpty()) {
            marks.add(content);
        }
        return marks;
    }

    /** Returns this prompt without the given marks; its last part is kept, which tells requests apart. */
    public Prompt withoutMarks(Collection<String> marks) {
        return new Prompt(
                shared.stream().filter(part -> !marks.contains(part)).toList(),
                own,
                marks.contains(content) ? "" : content);
    }

    /** Returns a prompt of which only the content of the request is known. */
    public Prompt contentOnly() {
        return new Prompt(List.of(), "", content);
    }

    private static boolean fits(String part) {
        return !part.isEmpty()
                && part.indexOf(':') < 0
                && part.length() <= MAX_PART_CHARS
                && part.chars().allMatch(character -> character > ' ' && character <= '~');
    }
}
