package org.tanagermoor.gateway.prompt;

import java.util.List;
import org.tanagermoor.gateway.proto.PromptParts;
import org.tanagermoor.policy.prompt.Prompt;

/** Converts prompts to and from messages. */
public final class PromptCodec {

    private PromptCodec() {}

    /** Writes the parts of a prompt. */
    public static PromptParts toMessage(Prompt prompt) {
        return PromptParts.newBuilder()
                .addAllShared(prompt.shared())
                .setOwn(prompt.own())
                .setContent(prompt.content())
                .build();
    }

    /** Reads the parts of a prompt. */
    public static Prompt fromMessage(PromptParts message) {
        return new Prompt(List.copyOf(message.getSharedList()), message.getOwn(), message.getContent());
    }
}
