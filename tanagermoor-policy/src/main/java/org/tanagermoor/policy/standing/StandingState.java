package org.tanagermoor.policy.standing;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.View;

/**
 * What an instance knows about whether its configuration is still in force. All times are readings of its own monotonic
 * clock in nanoseconds. A state is never changed; events make new ones.
 *
 * @param self The identity of the instance.
 * @param windowNanos The freshness window in nanoseconds.
 * @param version The version of the configuration that it has adopted; 0 before the first.
 * @param view The view of that configuration.
 * @param freshAt The latest moment at which the head is known to have been at most {@code version}.
 * @param newerHead A head that is larger than {@code version}.
 * @param answers The latest answer of each peer.
 */
public record StandingState(
        InstanceId self,
        long windowNanos,
        long version,
        View view,
        Moment freshAt,
        Head newerHead,
        Map<InstanceId, Answer> answers) {

    /**
     * Returns the state of an instance that knows nothing yet.
     *
     * @param self The identity of the instance.
     * @param windowNanos The freshness window in nanoseconds.
     * @return The state of an instance that knows nothing yet.
     */
    public static StandingState of(InstanceId self, long windowNanos) {
        return new StandingState(self, windowNanos, 0, View.EMPTY, Moment.NEVER, Head.NONE, HashMap.empty());
    }

    /**
     * Returns the state after a version was adopted. A version that is not larger than the adopted one is ignored.
     *
     * @param newView The view of the configuration at that version.
     */
    public StandingState withAdopted(long newVersion, View newView) {
        if (newVersion <= version) {
            return this;
        }
        boolean reached = newerHead.version() <= newVersion;
        return new StandingState(
                self,
                windowNanos,
                newVersion,
                newView,
                reached ? freshAt.later(newerHead.at()) : freshAt,
                reached ? Head.NONE : newerHead,
                answers);
    }

    /**
     * Returns the state after the head was learnt.
     *
     * @param at A moment, not after the head was read, at which no larger version was the head.
     */
    public StandingState withHead(long headVersion, long at) {
        if (headVersion <= version) {
            return new StandingState(
                    self, windowNanos, version, view, freshAt.later(Moment.of(at)), newerHead, answers);
        }
        Head head = new Head(headVersion, Moment.of(at));
        return headVersion >= newerHead.version()
                ? new StandingState(self, windowNanos, version, view, freshAt, head, answers)
                : this;
    }

    /**
     * Returns the state after a peer answered, or after another peer told of its answer.
     *
     * @param peer The identity of the peer.
     * @param peerVersion The largest version that it may have adopted when it answered.
     * @param askedAt The moment at which the question was sent, or an earlier one.
     */
    public StandingState withAnswer(InstanceId peer, long peerVersion, long askedAt) {
        Answer answer = new Answer(peerVersion, askedAt);
        return answers.get(peer).exists(present -> present.askedAt() - askedAt > 0)
                ? this
                : new StandingState(self, windowNanos, version, view, freshAt, newerHead, answers.put(peer, answer));
    }

    /** Returns this state without the answers of peers that are not in the view. */
    public StandingState withMembersOnly() {
        Map<InstanceId, Answer> kept = answers.filterKeys(id -> view.members().containsKey(id));
        return new StandingState(self, windowNanos, version, view, freshAt, newerHead, kept);
    }

    /**
     * Returns the standing.
     *
     * @param now The current time, read just before the action that it decides.
     */
    public Standing standing(long now) {
        if (!view.members().containsKey(self)) {
            return Standing.NONE;
        }
        if (freshAt.within(now, windowNanos)) {
            return Standing.FULL;
        }
        return majorityAnswered(now) ? Standing.OUTAGE : Standing.NONE;
    }

    /**
     * Returns whether an answer of a peer was heard within the window.
     *
     * @param peer The identity of the peer.
     * @param now The current time.
     */
    public boolean answeredWithinWindow(InstanceId peer, long now) {
        return peer.equals(self) || answers.get(peer).exists(answer -> now - answer.askedAt() <= windowNanos);
    }

    /**
     * Returns whether a majority of the view was heard within the window, and neither one of those nor the store was
     * found ahead.
     *
     * @param now The current time.
     * @return Whether the instance may serve through an outage of the store.
     */
    private boolean majorityAnswered(long now) {
        if (newerHead.at().within(now, windowNanos)) {
            return false;
        }
        int count = 1;
        for (InstanceId id : view.members().keySet()) {
            Answer answer = answers.get(id).getOrNull();
            if (id.equals(self) || answer == null || now - answer.askedAt() > windowNanos) {
                continue;
            }
            if (answer.version() > version) {
                return false;
            }
            count++;
        }
        return count >= view.majority();
    }

    /**
     * The answer of a peer.
     *
     * @param version The largest version that the peer may have adopted when it answered.
     * @param askedAt The moment at which the question was sent, or an earlier one.
     */
    public record Answer(long version, long askedAt) {}

    /**
     * A head that is ahead of the adopted version.
     *
     * @param version Its version; 0 for none.
     * @param at A moment at which no larger version was the head.
     */
    public record Head(long version, Moment at) {

        /** The head that stands for none. */
        public static final Head NONE = new Head(0, Moment.NEVER);
    }

    /**
     * A moment that may never have been.
     *
     * @param known Whether it has been.
     * @param nanos The moment, where it has been.
     */
    public record Moment(boolean known, long nanos) {

        /** The moment that has never been. */
        public static final Moment NEVER = new Moment(false, 0);

        /**
         * Returns a moment.
         *
         * @param nanos The reading of the monotonic clock.
         */
        public static Moment of(long nanos) {
            return new Moment(true, nanos);
        }

        /** Returns the later of two moments. */
        public Moment later(Moment other) {
            if (!other.known) {
                return this;
            }
            return known && nanos - other.nanos >= 0 ? this : other;
        }

        /**
         * Returns whether this moment has been and is no longer ago than a duration.
         *
         * @param now The current time.
         * @param duration The duration in nanoseconds.
         */
        public boolean within(long now, long duration) {
            return known && now - nanos <= duration;
        }
    }
}
