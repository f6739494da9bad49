package org.tanagermoor.membership;

import io.vavr.collection.Set;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.tanagermoor.membership.gossip.Input;
import org.tanagermoor.membership.proto.MembershipRequest;
import org.tanagermoor.policy.configuration.Ledger;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.Rendezvous;
import org.tanagermoor.policy.fleet.View;
import org.tanagermoor.policy.standing.Acceptance;
import org.tanagermoor.policy.standing.PullTree;
import org.tanagermoor.policy.standing.StandingState;
import reactor.core.publisher.MonoSink;

/**
 * Tracks recorded changes until they are accepted: collects which members have adopted them, asks the others and passes
 * changes to them. Used only by the thread of the membership duty.
 */
final class AcceptanceTracker {

    /**
     * The interval after which a member that has not adopted a change is asked again; it doubles with each request in a
     * row that stays unanswered.
     */
    private static final long RETRY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private static final int MAX_RETRY_DOUBLINGS = 6;

    /**
     * The time without progress after which another instance takes a change over. The instance with rank n waits n + 1
     * times as long, so that the instances do not all start at once.
     */
    private static final long TAKE_OVER_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

    /** The time during which members are not asked individually while a change is passed down the tree. */
    private static final long RELAY_HEAD_START_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final LocalReplica replica;

    private final Peers peers;

    private final Relay relay;

    /** Returns the tree of the current view. */
    private final Supplier<PullTree> tree;

    private final Timing timing;

    /** The changes that are not known to be accepted, by version. */
    private final TreeMap<Long, Acceptance> pending = new TreeMap<>();

    /** The latest version that each member is known to have adopted. */
    private final Map<InstanceId, Long> versions = new HashMap<>();

    /** The last attempt to reach each member that is missing. */
    private final Map<InstanceId, Attempt> attempts = new HashMap<>();

    /** The callers that wait for the acceptance of a version. */
    private final List<Input.AcceptanceAwaited> waiting = new ArrayList<>();

    /** The last version that was passed down the tree. */
    private long relayedVersion;

    /** The accepted version when {@link #unacceptedSince} was set. */
    private long lastAcceptedVersion;

    /**
     * The time since which the accepted version has been behind the adopted version without progress; 0 before the
     * first check.
     */
    private long unacceptedSince;

    /**
     * Creates a tracker without changes.
     *
     * @param tree Returns the tree of the current view.
     */
    AcceptanceTracker(LocalReplica replica, Peers peers, Relay relay, Supplier<PullTree> tree, Timing timing) {
        this.replica = replica;
        this.peers = peers;
        this.relay = relay;
        this.tree = tree;
        this.timing = timing;
    }

    /**
     * Starts tracking a change that this instance has recorded, or takes over, and has adopted. A version that is
     * accepted already, or not yet adopted here, is ignored.
     *
     * @param version The version that the change made.
     * @param now The current monotonic time in nanoseconds.
     */
    void track(long version, long now) {
        Ledger ledger = replica.published().ledger();
        if (version > ledger.chain().accepted() && version <= ledger.version()) {
            InstanceId self = replica.published().standing().self();
            Acceptance acceptance = Acceptance.of(version, ledger.chain()).withAdopted(self, replica.version());
            for (Map.Entry<InstanceId, Long> entry : versions.entrySet()) {
                acceptance = acceptance.withAdopted(entry.getKey(), entry.getValue());
            }
            pending.put(version, acceptance);
        }
        tick(now);
    }

    /** Adds a caller that waits for the acceptance of a version. */
    void await(Input.AcceptanceAwaited awaited) {
        waiting.add(awaited);
    }

    /**
     * Removes a caller that no longer waits.
     *
     * @param sink The sink of the caller.
     */
    void abandon(MonoSink<Boolean> sink) {
        waiting.removeIf(awaited -> awaited.sink().equals(sink));
    }

    /** Records the version that a peer has adopted. A later version that is already known for the peer is kept. */
    void recordVersion(InstanceId id, long version) {
        attempts.computeIfPresent(id, (key, attempt) -> attempt.withAnswer());
        if (versions.merge(id, version, Math::max) == version) {
            pending.replaceAll((key, acceptance) -> acceptance.withAdopted(id, version));
        }
    }

    /**
     * Takes over changes that make no progress, checks majorities and continues with {@link #advance}.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    void tick(long now) {
        takeOver(now);
        pending.replaceAll((version, acceptance) -> acceptance.withMajorityChecked(now));
        advance(now);
    }

    /**
     * Determines the accepted version, answers the callers that wait for it and asks the members that are missing.
     * Majorities are not checked again.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    void advance(long now) {
        long accepted = 0;
        for (Map.Entry<Long, Acceptance> entry : pending.entrySet()) {
            if (entry.getValue().accepted(now, timing.acceptanceWindow())) {
                accepted = entry.getKey();
            }
        }
        replica.accepted(accepted);
        dropAccepted();
        ask(now);
    }

    /** Drops the changes that are accepted and answers the callers that wait for them. */
    private void dropAccepted() {
        long accepted = replica.published().ledger().chain().accepted();
        pending.headMap(accepted, true).clear();
        pending.replaceAll((version, acceptance) -> acceptance.withAccepted(accepted));
        waiting.removeIf(awaited -> {
            if (awaited.version() <= accepted) {
                awaited.sink().success(true);
                return true;
            }
            return false;
        });
    }

    /** Asks the members that are not known to have adopted the pending changes. */
    private void ask(long now) {
        if (pending.isEmpty()) {
            attempts.clear();
            return;
        }
        Acceptance last = pending.lastEntry().getValue();
        Set<InstanceId> missing = last.missing();
        if (last.version() > relayedVersion && missing.size() >= PullTree.MAX_SIZE_ALL_READERS) {
            relay(last, missing, now);
            return;
        }
        for (InstanceId id : missing) {
            Attempt previous = attempts.get(id);
            long known = versions.getOrDefault(id, pending.firstKey() - 1);
            if (previous == null || previous.due(now)) {
                attempts.put(id, new Attempt(now, previous == null ? 0 : previous.failuresBefore() + 1));
                member(last, id)
                        .ifPresent(member ->
                                peers.ask(member, peers.withChangesAfter(MembershipRequest.newBuilder(), known), now));
            }
        }
    }

    /**
     * Passes a change down the tree. Members that it does not reach this way are asked individually later.
     *
     * @param last The change.
     * @param missing The members that are not known to have adopted it.
     */
    private void relay(Acceptance last, Set<InstanceId> missing, long now) {
        missing.forEach(id -> attempts.put(id, new Attempt(now + RELAY_HEAD_START_NANOS, 0)));
        long after = Math.max(relayedVersion, pending.firstKey() - 1);
        relayedVersion = last.version();
        StandingState standing = replica.published().standing();
        View view = standing.view();
        MembershipRequest request = peers.withChangesAfter(MembershipRequest.newBuilder(), after)
                .setRelayVersion(last.version())
                .build();
        PullTree current = tree.get();
        List<Member> readers = current.readers().stream()
                .filter(member -> !member.id().equals(standing.self()))
                .toList();
        relay.notifyMembers(readers, view, request, now, Relay.READER_TIMEOUT).subscribe();
        if (readers.size() < current.readers().size()) {
            relay.pass(standing.self(), view, current, request, now).subscribe();
        }
    }

    /**
     * Takes over the latest change if acceptance has made no progress for so long that its recorder has probably
     * failed.
     */
    private void takeOver(long now) {
        Ledger ledger = replica.published().ledger();
        long accepted = ledger.chain().accepted();
        if (accepted != lastAcceptedVersion || accepted >= ledger.version() || unacceptedSince == 0) {
            lastAcceptedVersion = accepted;
            unacceptedSince = now;
            return;
        }
        if (now - unacceptedSince > TAKE_OVER_DELAY_NANOS * (1 + rank(ledger))
                && !pending.containsKey(ledger.version())) {
            unacceptedSince = now;
            track(ledger.version(), now);
        }
    }

    /** Returns the rank of this instance, from 0, among the instances that may take a change over. */
    private long rank(Ledger ledger) {
        View view = ledger.configuration().view();
        InstanceId self = replica.published().standing().self();
        List<InstanceId> ranked = Rendezvous.ranked("acceptance/" + ledger.version(), view.ids(), InstanceId::toString);
        int index = ranked.indexOf(self);
        return index < 0 ? ranked.size() : index;
    }

    /** Finds a member in the views of the chain of a change; the latest view that contains it wins. */
    private static java.util.Optional<Member> member(Acceptance acceptance, InstanceId id) {
        return acceptance
                .chain()
                .views()
                .flatMap(view -> view.members().get(id))
                .lastOption()
                .toJavaOptional();
    }

    /**
     * The last attempt to reach a member.
     *
     * @param sentAt The time at which the request was sent. For a member that the tree is to reach, a later time, which
     *     delays the individual request.
     * @param failuresBefore The number of unanswered requests in a row before this one.
     */
    private record Attempt(long sentAt, int failuresBefore) {

        /**
         * Returns the attempt after the member answered, so that the next request is not delayed by earlier failures.
         */
        Attempt withAnswer() {
            return new Attempt(sentAt, 0);
        }

        /** Returns whether the member is to be asked again. */
        boolean due(long now) {
            return now - sentAt >= RETRY_INTERVAL_NANOS << Math.min(failuresBefore, MAX_RETRY_DOUBLINGS);
        }
    }
}
