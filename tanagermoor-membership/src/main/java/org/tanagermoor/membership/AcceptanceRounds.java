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

/** Leads recorded changes to their acceptance. Used by the membership duty only. */
final class AcceptanceRounds {

    /** The time after which a member that has not adopted a change is asked again, in nanoseconds. */
    private static final long RETRY = TimeUnit.MILLISECONDS.toNanos(400);

    /** The most doublings of that time for a member that does not answer. */
    private static final int DOUBLINGS_MOST = 6;

    /** The time after which another instance takes a change over, in nanoseconds, times its rank. */
    private static final long TAKE_OVER = TimeUnit.MILLISECONDS.toNanos(3_000);

    /** The time for which members are not asked one by one while a change is passed down the tree, in nanoseconds. */
    private static final long RELAY_AHEAD = TimeUnit.MILLISECONDS.toNanos(400);

    /** What this instance has adopted. */
    private final LocalReplica replica;

    /** The peers. */
    private final Peers peers;

    /** Passes changes on in large views. */
    private final Relay relay;

    /** Returns the tree of the present view. */
    private final Supplier<PullTree> tree;

    /** The times. */
    private final Timing timing;

    /** The changes that are not known to be accepted, by version. */
    private final TreeMap<Long, Acceptance> pending = new TreeMap<>();

    /** The versions that members are known to have adopted. */
    private final Map<InstanceId, Long> versions = new HashMap<>();

    /** The last questions by member. */
    private final Map<InstanceId, Question> questions = new HashMap<>();

    /** Those who wait for the acceptance of a version. */
    private final List<Input.Awaited> waiting = new ArrayList<>();

    /** The last version that was passed down the tree. */
    private long relayed;

    /** The accepted version when {@link #unacceptedSince} was set. */
    private long lastAccepted;

    /** The time since which the accepted version has not moved while it was behind. */
    private long unacceptedSince;

    /**
     * Creates the rounds.
     *
     * @param replica What this instance has adopted.
     * @param peers The peers.
     * @param relay Passes changes on in large views.
     * @param tree Returns the tree of the present view.
     * @param timing The times.
     */
    AcceptanceRounds(LocalReplica replica, Peers peers, Relay relay, Supplier<PullTree> tree, Timing timing) {
        this.replica = replica;
        this.peers = peers;
        this.relay = relay;
        this.tree = tree;
        this.timing = timing;
    }

    /**
     * Begins with a change that this instance recorded and adopted.
     *
     * @param version The version that the change made.
     * @param now The present time.
     */
    void begin(long version, long now) {
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

    /**
     * Lets somebody wait for an acceptance.
     *
     * @param awaited Who waits for which version.
     */
    void await(Input.Awaited awaited) {
        waiting.add(awaited);
    }

    /**
     * Drops somebody who no longer waits.
     *
     * @param sink What would have got the answer.
     */
    void abandon(MonoSink<Boolean> sink) {
        waiting.removeIf(awaited -> awaited.sink().equals(sink));
    }

    /**
     * Takes in the version that a peer has adopted.
     *
     * @param id The identity of the peer.
     * @param version The version.
     */
    void seen(InstanceId id, long version) {
        questions.computeIfPresent(id, (key, question) -> question.answered());
        if (versions.merge(id, version, Math::max) == version) {
            pending.replaceAll((key, acceptance) -> acceptance.withAdopted(id, version));
        }
    }

    /**
     * Does what is due.
     *
     * @param now The present time.
     */
    void tick(long now) {
        takeOver(now);
        pending.replaceAll((version, acceptance) -> acceptance.withMajorityChecked(now));
        conclude(now);
    }

    /**
     * Concludes what is accepted and asks the members that are missing, without counting majorities anew.
     *
     * @param now The present time.
     */
    void conclude(long now) {
        long accepted = 0;
        for (Map.Entry<Long, Acceptance> entry : pending.entrySet()) {
            if (entry.getValue().accepted(now, timing.acceptanceWindow())) {
                accepted = entry.getKey();
            }
        }
        replica.accepted(accepted);
        settle();
        ask(now);
    }

    /** Drops what is accepted and tells those who wait. */
    private void settle() {
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

    /**
     * Asks the members that are not known to have adopted the pending changes.
     *
     * @param now The present time.
     */
    private void ask(long now) {
        if (pending.isEmpty()) {
            questions.clear();
            return;
        }
        Acceptance last = pending.lastEntry().getValue();
        Set<InstanceId> missing = last.missing();
        if (last.version() > relayed && missing.size() >= PullTree.MAX_SIZE_ALL_READERS) {
            relay(last, missing, now);
            return;
        }
        for (InstanceId id : missing) {
            Question before = questions.get(id);
            long known = versions.getOrDefault(id, pending.firstKey() - 1);
            if (before == null || before.due(now)) {
                questions.put(id, new Question(now, before == null ? 0 : before.unanswered() + 1));
                member(last, id)
                        .ifPresent(member ->
                                peers.ask(member, peers.withChangesAfter(MembershipRequest.newBuilder(), known), now));
            }
        }
    }

    /**
     * Passes a change down the tree. Members that are not reached so are asked later.
     *
     * @param last The change.
     * @param missing The members that are not known to have adopted it.
     * @param now The present time.
     */
    private void relay(Acceptance last, Set<InstanceId> missing, long now) {
        missing.forEach(id -> questions.put(id, new Question(now + RELAY_AHEAD, 0)));
        long after = Math.max(relayed, pending.firstKey() - 1);
        relayed = last.version();
        StandingState standing = replica.published().standing();
        View view = standing.view();
        MembershipRequest request = peers.withChangesAfter(MembershipRequest.newBuilder(), after)
                .setRelayVersion(last.version())
                .build();
        PullTree present = tree.get();
        List<Member> readers = present.readers().stream()
                .filter(member -> !member.id().equals(standing.self()))
                .toList();
        relay.notifyMembers(readers, view, request, now, Relay.READER_TIMEOUT).subscribe();
        if (readers.size() < present.readers().size()) {
            relay.pass(standing.self(), view, present, request, now).subscribe();
        }
    }

    /**
     * Takes over changes whose recorder seems to be gone.
     *
     * @param now The present time.
     */
    private void takeOver(long now) {
        Ledger ledger = replica.published().ledger();
        long accepted = ledger.chain().accepted();
        if (accepted != lastAccepted || accepted >= ledger.version() || unacceptedSince == 0) {
            lastAccepted = accepted;
            unacceptedSince = now;
            return;
        }
        if (now - unacceptedSince > TAKE_OVER * (1 + rank(ledger)) && !pending.containsKey(ledger.version())) {
            unacceptedSince = now;
            begin(ledger.version(), now);
        }
    }

    /**
     * Returns the place of this instance among those who may take a change over.
     *
     * @param ledger The adopted ledger.
     * @return The place from 0.
     */
    private long rank(Ledger ledger) {
        View view = ledger.configuration().view();
        InstanceId self = replica.published().standing().self();
        List<InstanceId> ranked = Rendezvous.ranked("acceptance/" + ledger.version(), view.ids(), InstanceId::toString);
        int index = ranked.indexOf(self);
        return index < 0 ? ranked.size() : index;
    }

    /**
     * Returns a member of a chain.
     *
     * @param acceptance The change with the chain.
     * @param id The identity of the member.
     * @return The member.
     */
    private static java.util.Optional<Member> member(Acceptance acceptance, InstanceId id) {
        return acceptance
                .chain()
                .views()
                .flatMap(view -> view.members().get(id))
                .lastOption()
                .toJavaOptional();
    }

    /**
     * The last question to a member.
     *
     * @param at The time at which it was asked.
     * @param unanswered The questions in a row before this one that were not answered.
     */
    private record Question(long at, int unanswered) {

        /**
         * Returns the question once the member gave a sign of life.
         *
         * @return A question that is due sooner.
         */
        Question answered() {
            return new Question(at, 0);
        }

        /**
         * Returns whether the member is to be asked again.
         *
         * @param now The present time.
         * @return Whether it is to be asked again.
         */
        boolean due(long now) {
            return now - at >= RETRY << Math.min(unanswered, DOUBLINGS_MOST);
        }
    }
}
