package org.tanagermoor.membership;

import io.vavr.control.Either;
import org.tanagermoor.kernel.duty.Duty;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.membership.gossip.Adopters;
import org.tanagermoor.membership.gossip.Inbox;
import org.tanagermoor.membership.gossip.Input;
import org.tanagermoor.membership.proto.MembershipResponse;
import org.tanagermoor.membership.store.ChangeStore;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.View;
import org.tanagermoor.policy.standing.Standing;
import org.tanagermoor.policy.standing.StandingState;
import org.tanagermoor.wire.link.PeerLink;

/**
 * The duty that runs the membership protocol: it keeps this instance fresh, maintains the view and tracks recorded
 * changes until they are accepted.
 */
final class MembershipDuty implements Duty.Work<Input> {

    private final ChangeStore store;

    private final LocalReplica replica;

    private final EventLog events;

    private final Peers peers;

    private final Relay relay;

    private final FreshnessUpdater freshness;

    private final AcceptanceTracker acceptance;

    private final ViewMaintainer view;

    /** The standing at the last tick; a difference is logged. */
    private Standing standing = Standing.NONE;

    /**
     * Creates a duty.
     *
     * @param self This instance as a member.
     * @param inbox Passes inputs to this duty.
     * @param now The current monotonic time in nanoseconds.
     */
    MembershipDuty(
            Member self,
            ChangeStore store,
            PeerLink link,
            LocalReplica replica,
            Changes changes,
            Timing timing,
            EventLog events,
            Inbox inbox,
            long now) {
        this.store = store;
        this.replica = replica;
        this.events = events;
        peers = new Peers(link, replica, inbox);
        freshness = new FreshnessUpdater(store, peers, replica, timing, inbox, events, now);
        relay = new Relay(peers);
        acceptance = new AcceptanceTracker(replica, peers, relay, freshness::tree, timing);
        view = new ViewMaintainer(self, changes, peers, replica, timing, inbox, events, now);
    }

    /** {@inheritDoc} */
    @Override
    public void handle(Input input, long now) {
        switch (input) {
            case Input.RequestReceived received -> answer(received, now);
            case Input.CallCompleted completed -> observe(completed, now);
            case Input.HeadRead read -> freshness.observe(read.startedAt(), read.result());
            case Input.CaughtUp caughtUp -> freshness.observe(caughtUp);
            case Input.Recorded recorded -> observe(recorded, now);
            case Input.ViewChanged changed -> view.observe(changed.result());
            case Input.AcceptanceAwaited awaited -> {
                acceptance.await(awaited);
                acceptance.tick(now);
            }
            case Input.AwaitAbandoned abandoned -> acceptance.abandon(abandoned.sink());
            case Input.ListenerAdded listening -> replica.addListener(listening.listener());
            case Input.LeaveRequested leaving -> view.leave(leaving.beforeRemoval());
        }
    }

    /** {@inheritDoc} */
    @Override
    public void tick(long now) {
        freshness.tick(now);
        view.tick(now);
        acceptance.tick(now);
        Standing current = replica.published().standing().standing(now);
        if (current != standing) {
            events.record(MembershipEvent.STANDING_CHANGED, "from", standing, "to", current);
            standing = current;
        }
    }

    /** Answers a peer, after the changes in its request are adopted. */
    private void answer(Input.RequestReceived received, long now) {
        peers.observe(received.from(), received.request(), now);
        acceptance.recordVersion(received.from(), received.request().getVersion());
        MembershipResponse response = peers.answer(received.request(), now);
        if (received.request().getRelayVersion() == 0) {
            received.sink().success(Either.right(response.toByteArray()));
        } else {
            relay(received, response, now);
        }
    }

    /**
     * Passes the changes of a request down the tree, and answers once the members below this instance have answered or
     * timed out.
     *
     * @param response The answer without the adopters below this instance.
     */
    private void relay(Input.RequestReceived received, MembershipResponse response, long now) {
        StandingState current = replica.published().standing();
        relay.pass(current.self(), current.view(), freshness.tree(), received.request(), now)
                .subscribe(adopters -> received.sink()
                        .success(Either.right(response.toBuilder()
                                .setViewVersion(current.view().version())
                                .setAdopters(Adopters.encode(current.view(), adopters))
                                .setAdoptersVersion(received.request().getRelayVersion())
                                .build()
                                .toByteArray())));
    }

    /** Observes the result of a request to a peer. */
    private void observe(Input.CallCompleted completed, long now) {
        if (completed.result().isRight()) {
            MembershipResponse response = completed.result().get();
            peers.observe(completed.member().id(), completed.startedAt(), response, now);
            acceptance.recordVersion(completed.member().id(), response.getVersion());
            View current = replica.published().standing().view();
            if (response.getAdoptersVersion() > 0 && response.getViewVersion() == current.version()) {
                Adopters.decode(current, response.getAdopters())
                        .forEach(id -> acceptance.recordVersion(id, response.getAdoptersVersion()));
            }
            acceptance.advance(now);
        }
        freshness.observe(completed, now);
    }

    /**
     * Observes a change that this instance recorded. Stores a snapshot every {@link ChangeStore#SNAPSHOT_INTERVAL}
     * versions.
     */
    private void observe(Input.Recorded recorded, long now) {
        long version = recorded.update().version();
        replica.adopt(recorded.update());
        events.record(MembershipEvent.RECORDED, "version", version);
        acceptance.track(version, now);
        if (version % ChangeStore.SNAPSHOT_INTERVAL == 0) {
            store.snapshot(recorded.update().ledger())
                    .subscribe(result -> result.peek(
                                    kept -> events.record(MembershipEvent.SNAPSHOT_KEPT, "version", version))
                            .peekLeft(failure -> events.record(MembershipEvent.STORE_FAILED, "why", failure)));
        }
    }
}
