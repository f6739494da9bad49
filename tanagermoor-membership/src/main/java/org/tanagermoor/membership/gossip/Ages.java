package org.tanagermoor.membership.gossip;

import com.google.protobuf.ByteString;
import java.util.List;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.standing.StandingState;

/**
 * The wire form of the ages of the last answers of all members, two to a byte, so that a large view fits into a small
 * message.
 */
public final class Ages {

    /** The number of parts into which the freshness window is divided. As an age it means that there is no answer. */
    private static final int PARTS = 15;

    /** The number of bits of one age. */
    private static final int BITS = 4;

    private Ages() {}

    /**
     * Encodes the ages of the answers that are no older than the window and not of a later version.
     *
     * @param state What this instance knows.
     * @param now The current monotonic time in nanoseconds.
     * @return The ages in the order of the view.
     */
    public static ByteString encode(StandingState state, long now) {
        List<InstanceId> ids = state.view().ids();
        byte[] bytes = new byte[(ids.size() + 1) / 2];
        for (int index = 0; index < ids.size(); index++) {
            int part = part(state, ids.get(index), now);
            bytes[index / 2] |= (byte) (part << (index % 2 * BITS));
        }
        return ByteString.copyFrom(bytes);
    }

    /**
     * Adds the answers that a peer reported to what this instance knows.
     *
     * @param state What this instance knows; its view is the one to which the ages refer.
     * @param ages The ages in the order of the view.
     * @param version The version of the peer that sent them.
     * @param askedAt The time at which the peer was asked.
     */
    public static StandingState decode(StandingState state, ByteString ages, long version, long askedAt) {
        List<InstanceId> ids = state.view().ids();
        StandingState result = state;
        for (int index = 0; index < ids.size() && index / 2 < ages.size(); index++) {
            int part = ages.byteAt(index / 2) >> (index % 2 * BITS) & PARTS;
            if (part < PARTS && !ids.get(index).equals(state.self())) {
                result = result.withAnswer(ids.get(index), version, askedAt - part * state.windowNanos() / PARTS);
            }
        }
        return result;
    }

    /**
     * Returns the age of an answer, rounded up.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The age in parts of the window, or {@link #PARTS} if there is no answer.
     */
    private static int part(StandingState state, InstanceId id, long now) {
        if (id.equals(state.self())) {
            return 0;
        }
        StandingState.Answer answer = state.answers().get(id).getOrNull();
        if (answer == null || answer.version() > state.version() || now - answer.askedAt() > state.windowNanos()) {
            return PARTS;
        }
        long age = Math.max(0, now - answer.askedAt()) * PARTS;
        return (int) Math.min(PARTS, (age + state.windowNanos() - 1) / state.windowNanos());
    }
}
