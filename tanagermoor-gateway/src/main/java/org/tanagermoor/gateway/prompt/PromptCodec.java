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
                .build();
    }

    /** Reads the parts of a prompt; {@link Prompt#NONE} if the message names none. */
    public static Prompt fromMessage(PromptParts message) {
        return message.getSharedCount() == 0 && message.getOwn().isEmpty()
                ? Prompt.NONE
                : new Prompt(List.copyOf(message.getSharedList()), message.getOwn());
    }
}
