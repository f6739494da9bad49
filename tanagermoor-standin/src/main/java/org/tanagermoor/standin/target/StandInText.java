package org.tanagermoor.standin.target;

/** The text that stand-in targets answer with. It follows from the prompt, so that answers can be checked. */
public final class StandInText {

    /** There are no instances. */
    private StandInText() {}

    /**
     * Returns the text of a token.
     *
     * @param prompt The prompt.
     * @param number The number of the token, from 0.
     * @return The text of the token.
     */
    public static String token(String prompt, int number) {
        return Generation.text(prompt, number);
    }

    /**
     * Returns the text of a whole answer.
     *
     * @param prompt The prompt.
     * @param tokens The number of tokens.
     * @return The text of the answer.
     */
    public static String whole(String prompt, int tokens) {
        StringBuilder text = new StringBuilder();
        for (int number = 0; number < tokens; number++) {
            text.append(token(prompt, number));
        }
        return text.toString();
    }
}
