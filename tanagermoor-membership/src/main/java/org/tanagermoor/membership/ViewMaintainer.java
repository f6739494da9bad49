package org.tanagermoor.membership;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.membership.gossip.Inbox;
import org.tanagermoor.membership.gossip.Input;
import org.tanagermoor.membership.proto.MembershipRequest;
import org.tanagermoor.policy.configuration.Change;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.Rendezvous;
import org.tanagermoor.policy.fleet.View;
import org.tanagermoor.policy.standing.Standing;
import org.tanagermoor.policy.standing.StandingState;

/**
 * Maintains the view: adds this instance to it, and removes members that are silent. Each instance watches the next two
 * living members of a ring. Used only by the thread of the membership duty.
 */
final class ViewMaintainer {

    /** The number of living members that each instance watches. */
    private static final int LIVING_MEMBERS_WATCHED = 2;

    /** The maximum number of members that are watched, living or silent, to find the living ones. */
    private static final int MAX_MEMBERS_WATCHED = 8;

    /** The minimum time between two attempts to add this instance to the view or to mark it as leaving. */
    private static final long ATTEMPT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** The time after which an attempt without a result counts as lost. */
    private static final long ATTEMPT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(10_000);

    private final Member self;

    private final Changes changes;

    private final Peers peers;

    private final LocalReplica replica;

    private final Timing timing;

    /** Receives the results of changes, for the membership duty. */
    private final Inbox inbox;

    private final EventLog events;

    /** Whether this instance is to be marked as leaving. */
    private boolean leaving;

    /** Whether this instance is being removed from the view, so that it must not be added again. */
    private boolean removalRequested;

    /** Whether a requested change of the view has no result yet. */
    private boolean changePending;

    /** The time of the last attempt to change the view. */
    private long lastAttemptAt;

    /** The time of the next request to a watched member. */
    private long nextCheckAt;

    /** The number of requests to watched members so far. */
    private int checks;

    /**
     * The members other than this instance in the order of the ring, for the view with version {@link #ringVersion}.
     */
    private List<Member> ring = List.of();

    private long ringVersion;

    /**
     * Creates a maintainer whose first attempt to join is due immediately.
     *
     * @param self This instance as a member.
     * @param inbox Receives the results of changes, for the membership duty.
     * @param now The current monotonic time in nanoseconds.
     */
    ViewMaintainer(
            Member self,
            Changes changes,
            Peers peers,
            LocalReplica replica,
            Timing timing,
            Inbox inbox,
            EventLog events,
            long now) {
        this.self = self;
        this.changes = changes;
        this.peers = peers;
        this.replica = replica;
        this.timing = timing;
        this.inbox = inbox;
        this.events = events;
        lastAttemptAt = now - ATTEMPT_INTERVAL_NANOS;
        nextCheckAt = now;
    }

    /**
     * Marks this instance as leaving.
     *
     * @param beforeRemoval Whether it is about to be removed from the view, so that it must not be added again.
     */
    void leave(boolean beforeRemoval) {
        leaving = true;
        removalRequested = beforeRemoval;
    }

    /** Observes the result of a change of the view that this instance requested. */
    void observe(Either<Failure, Long> result) {
        changePending = false;
        result.peekLeft(failure -> events.record(MembershipEvent.VIEW_CHANGE_FAILED, "why", failure));
    }

    /**
     * Requests the changes of the view that are due, and checks the watched members.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    void tick(long now) {
        StandingState standing = replica.published().standing();
        if (changePending && now - lastAttemptAt > ATTEMPT_TIMEOUT_NANOS) {
            changePending = false;
        }
        if (standing.freshAt().within(now, timing.window())) {
            ensureInView(standing.view(), now);
        }
        if (now - nextCheckAt >= 0) {
            checkWatched(standing, now);
        }
    }

    /** Requests that the view contains this instance in its current state, unless an attempt is pending. */
    private void ensureInView(View view, long now) {
        Member desired = self.withLeaving(leaving);
        boolean present = view.member(self.id()).filter(desired::equals).isPresent();
        if (!present && !removalRequested && !changePending && now - lastAttemptAt >= ATTEMPT_INTERVAL_NANOS) {
            events.record(leaving ? MembershipEvent.LEAVING : MembershipEvent.JOINING, "instance", self.id());
            request(new Change.PutMember(desired), now);
        }
    }

    /**
     * Asks one of the watched members for a heartbeat, and requests the removal of those that have been silent for too
     * long. Removes none while this instance lacks full standing, or reaches so few watched members that it may itself
     * be disconnected.
     *
     * @param standing What this instance knows about its standing.
     */
    private void checkWatched(StandingState standing, long now) {
        List<Member> watched = watched(standing.view(), now);
        nextCheckAt = now + timing.interval();
        if (watched.isEmpty()) {
            return;
        }
        peers.ask(watched.get(checks++ % watched.size()), MembershipRequest.newBuilder(), now);
        List<InstanceId> silentIds = watched.stream()
                .map(Member::id)
                .filter(id -> !peers.isAlive(id, now, timing.window()))
                .toList();
        replica.silent(silentIds);
        boolean connected = watched.size() - silentIds.size() >= Math.min(LIVING_MEMBERS_WATCHED, ring.size() - 1);
        for (Member member : watched) {
            boolean silent = !peers.isAlive(member.id(), now, timing.silence());
            if (silent && connected && !changePending && standing.standing(now) == Standing.FULL) {
                events.record(MembershipEvent.REMOVING, "instance", member.id());
                request(new Change.RemoveMember(member.id()), now);
            }
        }
    }

    /** Returns the members to watch: those that follow in the ring, up to the second living one. */
    private List<Member> watched(View view, long now) {
        if (view.version() != ringVersion) {
            ring = ring(view);
            ringVersion = view.version();
            peers.retainMembers(view);
        }
        List<Member> result = new ArrayList<>();
        int livingCount = 0;
        for (int index = 0;
                index < Math.min(MAX_MEMBERS_WATCHED, ring.size()) && livingCount < LIVING_MEMBERS_WATCHED;
                index++) {
            Member member = ring.get(index);
            result.add(member);
            livingCount += peers.isAlive(member.id(), now, timing.window()) ? 1 : 0;
        }
        return result;
    }

    /**
     * Returns the members that follow this instance in the ring. The order is pseudo-random, so it does not depend on
     * names or failure domains.
     *
     * @return The members other than this instance.
     */
    private List<Member> ring(View view) {
        List<Member> order = Rendezvous.ranked(
                "watch",
                view.members().values().toJavaList(),
                member -> member.id().toString());
        int position = order.stream().map(Member::id).toList().indexOf(self.id());
        List<Member> result = new ArrayList<>();
        for (int step = 1; step <= order.size(); step++) {
            Member member = order.get((Math.max(0, position) + step) % order.size());
            if (!member.id().equals(self.id())) {
                result.add(member);
            }
        }
        return result;
    }

    /** Records a change of the view. */
    private void request(Change change, long now) {
        changePending = true;
        lastAttemptAt = now;
        changes.record(change, UUID.randomUUID().toString(), OptionalLong.empty())
                .subscribe(result -> inbox.offer(new Input.ViewChanged(result)));
    }
}
