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
 * Keeps the view true: this instance is in it, and members that are silent are removed. Each instance watches the next
 * two living members of a ring. Used by the membership duty only.
 */
final class ViewRounds {

    /** The living members that each instance watches. */
    private static final int WATCHED = 2;

    /** The most members that are looked at to find living ones. */
    private static final int LOOKED_AT = 8;

    /** The time between two attempts at changing the view, in nanoseconds. */
    private static final long ATTEMPT = TimeUnit.MILLISECONDS.toNanos(300);

    /** The time after which an attempt counts as lost, in nanoseconds. */
    private static final long ATTEMPT_TIMEOUT = TimeUnit.MILLISECONDS.toNanos(10_000);

    /** This instance. */
    private final Member self;

    /** Records changes. */
    private final Changes changes;

    /** The peers. */
    private final Peers peers;

    /** What this instance has adopted. */
    private final LocalReplica replica;

    /** The times. */
    private final Timing timing;

    /** Tells the membership duty. */
    private final Inbox duty;

    /** The log of events. */
    private final EventLog events;

    /** Whether this instance is to be marked as leaving. */
    private boolean leaving;

    /** Whether this instance is no longer to be in the view. */
    private boolean left;

    /** Whether a change of the view is on its way. */
    private boolean busy;

    /** The time of the last attempt at changing the view. */
    private long lastAttempt;

    /** The time of the next question to a watched member. */
    private long nextWatch;

    /** The number of questions to watched members. */
    private int watches;

    /** The members other than this instance in the order of the ring. */
    private List<Member> ring = List.of();

    /** The version of the view of {@link #ring}. */
    private long ringVersion;

    /**
     * Creates the rounds.
     *
     * @param self This instance.
     * @param changes Records changes.
     * @param peers The peers.
     * @param replica What this instance has adopted.
     * @param timing The times.
     * @param duty Tells the membership duty.
     * @param events The log of events.
     * @param now The present time.
     */
    ViewRounds(
            Member self,
            Changes changes,
            Peers peers,
            LocalReplica replica,
            Timing timing,
            Inbox duty,
            EventLog events,
            long now) {
        this.self = self;
        this.changes = changes;
        this.peers = peers;
        this.replica = replica;
        this.timing = timing;
        this.duty = duty;
        this.events = events;
        lastAttempt = now - ATTEMPT;
        nextWatch = now;
    }

    /**
     * Marks this instance as leaving.
     *
     * @param last Whether it is about to be removed from the view, so that it is not to be added again.
     */
    void leave(boolean last) {
        leaving = true;
        left = last;
    }

    /**
     * Takes in the end of a change of the view.
     *
     * @param result The version or a failure.
     */
    void take(Either<Failure, Long> result) {
        busy = false;
        result.peekLeft(failure -> events.record(MembershipEvent.VIEW_CHANGE_FAILED, "why", failure));
    }

    /**
     * Does what is due.
     *
     * @param now The present time.
     */
    void tick(long now) {
        StandingState standing = replica.published().standing();
        if (busy && now - lastAttempt > ATTEMPT_TIMEOUT) {
            busy = false;
        }
        if (standing.freshAt().within(now, timing.window())) {
            keepSelf(standing.view(), now);
        }
        if (now - nextWatch >= 0) {
            watch(standing, now);
        }
    }

    /**
     * Asks for this instance to be in the view as it is.
     *
     * @param view The view.
     * @param now The present time.
     */
    private void keepSelf(View view, long now) {
        Member wanted = self.withLeaving(leaving);
        boolean present = view.member(self.id()).filter(wanted::equals).isPresent();
        if (!present && !left && !busy && now - lastAttempt >= ATTEMPT) {
            events.record(leaving ? MembershipEvent.LEAVING : MembershipEvent.JOINING, "instance", self.id());
            request(new Change.PutMember(wanted), now);
        }
    }

    /**
     * Asks a watched member for a sign of life, and removes those that have been silent for too long.
     *
     * @param standing What this instance knows.
     * @param now The present time.
     */
    private void watch(StandingState standing, long now) {
        List<Member> watched = watched(standing.view(), now);
        nextWatch = now + timing.interval();
        if (watched.isEmpty()) {
            return;
        }
        peers.ask(watched.get(watches++ % watched.size()), MembershipRequest.newBuilder(), now);
        List<InstanceId> silentIds = watched.stream()
                .map(Member::id)
                .filter(id -> !peers.alive(id, now, timing.window()))
                .toList();
        replica.silent(silentIds);
        boolean connected = watched.size() - silentIds.size() >= Math.min(WATCHED, ring.size() - 1);
        for (Member member : watched) {
            boolean silent = !peers.alive(member.id(), now, timing.silence());
            if (silent && connected && !busy && standing.standing(now) == Standing.FULL) {
                events.record(MembershipEvent.REMOVING, "instance", member.id());
                request(new Change.RemoveMember(member.id()), now);
            }
        }
    }

    /**
     * Returns the members to watch: the next in the ring up to the second living one.
     *
     * @param view The view.
     * @param now The present time.
     * @return The members to watch.
     */
    private List<Member> watched(View view, long now) {
        if (view.version() != ringVersion) {
            ring = ring(view);
            ringVersion = view.version();
            peers.keepOnly(view);
        }
        List<Member> result = new ArrayList<>();
        int living = 0;
        for (int index = 0; index < Math.min(LOOKED_AT, ring.size()) && living < WATCHED; index++) {
            Member member = ring.get(index);
            result.add(member);
            living += peers.alive(member.id(), now, timing.window()) ? 1 : 0;
        }
        return result;
    }

    /**
     * Returns the members that follow this instance in a ring whose order does not follow names or places.
     *
     * @param view The view.
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

    /**
     * Records a change of the view.
     *
     * @param change The change.
     * @param now The present time.
     */
    private void request(Change change, long now) {
        busy = true;
        lastAttempt = now;
        changes.record(change, UUID.randomUUID().toString(), OptionalLong.empty())
                .subscribe(result -> duty.offer(new Input.ViewChanged(result)));
    }
}
