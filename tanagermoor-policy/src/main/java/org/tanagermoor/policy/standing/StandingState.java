package org.tanagermoor.policy.standing;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.View;

/**
 * What an instance knows about whether its configuration is still in force. All times are readings of its own monotonic
 * clock in nanoseconds. A state is immutable; each event makes a new one.
 *
 * @param self The identity of this instance.
 * @param windowNanos The freshness window in nanoseconds.
 * @param version The version of the adopted configuration; 0 before the first.
 * @param view The view of the adopted configuration.
 * @param freshAt The latest time at which the head, the latest version in the store, is known to have been at most
 *     {@code version}.
 * @param newerHead A head that is larger than {@code version}, or {@link Head#NONE}.
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
     * Returns the initial state of an instance, without a configuration and without answers.
     *
     * @param windowNanos The freshness window in nanoseconds.
     */
    public static StandingState of(InstanceId self, long windowNanos) {
        return new StandingState(self, windowNanos, 0, View.EMPTY, Moment.NEVER, Head.NONE, HashMap.empty());
    }

    /**
     * Returns the state after a version was adopted. A version that is not larger than the adopted one is ignored.
     *
     * @param newVersion The version of the configuration.
     * @param newView The view of the configuration at that version.
     */
    public StandingState withAdopted(long newVersion, View newView) {
        if (newVersion <= version) {
            return this;
        }
        boolean headAdopted = newerHead.version() <= newVersion;
        return new StandingState(
                self,
                windowNanos,
                newVersion,
                newView,
                headAdopted ? freshAt.later(newerHead.at()) : freshAt,
                headAdopted ? Head.NONE : newerHead,
                answers);
    }

    /**
     * Returns the state after the version of the head was received.
     *
     * @param headVersion The version of the head.
     * @param at A time, no later than the read of the head, at which no larger version was the head.
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
     * Returns the state after a peer answered, or after another peer passed on its answer. An answer to an earlier
     * question than that of the known answer is ignored.
     *
     * @param peerVersion The largest version that the peer may have adopted when it answered.
     * @param askedAt The time at which the question was sent, or an earlier one.
     */
    public StandingState withAnswer(InstanceId peer, long peerVersion, long askedAt) {
        Answer answer = new Answer(peerVersion, askedAt);
        return answers.get(peer).exists(previous -> previous.askedAt() - askedAt > 0)
                ? this
                : new StandingState(self, windowNanos, version, view, freshAt, newerHead, answers.put(peer, answer));
    }

    /** Returns this state without the answers of peers that are not in the view. */
    public StandingState withMembersOnly() {
        Map<InstanceId, Answer> kept = answers.filterKeys(id -> view.members().containsKey(id));
        return new StandingState(self, windowNanos, version, view, freshAt, newerHead, kept);
    }

    /**
     * Returns the standing of this instance.
     *
     * @param now The current time, read just before the action that depends on the standing.
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
     * Returns whether a peer answered a question that was sent within the freshness window. This is always the case for
     * the instance itself.
     *
     * @param now The current time.
     */
    public boolean answeredWithinWindow(InstanceId peer, long now) {
        return peer.equals(self) || answers.get(peer).exists(answer -> now - answer.askedAt() <= windowNanos);
    }

    /**
     * Returns whether the instance may serve through an outage of the store: a majority of the view answered within the
     * window, and neither one of those answers nor the store showed a later version.
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
     * @param askedAt The time at which the question was sent, or an earlier one.
     */
    public record Answer(long version, long askedAt) {}

    /**
     * A head that is later than the adopted version.
     *
     * @param version The version of the head; 0 if there is no such head.
     * @param at A time at which no larger version was the head.
     */
    public record Head(long version, Moment at) {

        /** Means that no head later than the adopted version is known. */
        public static final Head NONE = new Head(0, Moment.NEVER);
    }

    /**
     * A point in time that may be unknown.
     *
     * @param known Whether the time is known.
     * @param nanos The reading of the monotonic clock in nanoseconds; meaningless unless {@code known}.
     */
    public record Moment(boolean known, long nanos) {

        /** A time that is not known because the event has not happened. */
        public static final Moment NEVER = new Moment(false, 0);

        /**
         * Returns a known time.
         *
         * @param nanos The reading of the monotonic clock in nanoseconds.
         */
        public static Moment of(long nanos) {
            return new Moment(true, nanos);
        }

        /** Returns the later of this time and another. An unknown time counts as earlier than any other. */
        public Moment later(Moment other) {
            if (!other.known) {
                return this;
            }
            return known && nanos - other.nanos >= 0 ? this : other;
        }

        /**
         * Returns whether this time is known and lies no further back than a duration.
         *
         * @param now The current time.
         * @param duration The duration in nanoseconds.
         */
        public boolean within(long now, long duration) {
            return known && now - nanos <= duration;
        }
    }
}
