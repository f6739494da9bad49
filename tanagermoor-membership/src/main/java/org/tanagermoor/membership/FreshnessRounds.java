package org.tanagermoor.membership;

import io.vavr.control.Either;
import java.util.List;
import java.util.Random;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.membership.gossip.Inbox;
import org.tanagermoor.membership.gossip.Input;
import org.tanagermoor.membership.proto.MembershipRequest;
import org.tanagermoor.membership.store.ChangeStore;
import org.tanagermoor.membership.store.Head;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.standing.PullTree;
import org.tanagermoor.policy.standing.StandingState;

/**
 * Keeps this instance fresh: a reader reads the head row, the others pull from a member of the level above, and while
 * freshness runs late, members ask one another for the ages of all answers. Used by the membership duty only.
 */
final class FreshnessRounds {

    /** The most reads at once. */
    private static final int READS_AT_ONCE = 4;

    /** The most intervals between two reads of an instance that is no reader, while the store fails. */
    private static final int BACK_OFF_MOST = 16;

    /** The intervals after which the preferred member of the level above is tried again. */
    private static final int PREFERRED_AFTER = 25;

    /** The store. */
    private final ChangeStore store;

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

    /** Chooses whom to ask while freshness runs late. */
    private final Random random;

    /** The tree of the present view. */
    private PullTree tree;

    /** The version of the view of {@link #tree}. */
    private long treeVersion;

    /** The reads that are not answered yet. */
    private int reads;

    /** The time of the last read. */
    private long lastRead;

    /** The intervals between two reads while the store fails. */
    private int backOff = 1;

    /** The time of the next pull. */
    private long nextPull;

    /** The pulls since the preferred member was left. */
    private int pulls;

    /** The position of the member to pull from. */
    private int parent;

    /** The time of the next question for ages. */
    private long nextAges;

    /** Whether the ledger is being brought up to the head. */
    private boolean catchingUp;

    /**
     * Creates the rounds.
     *
     * @param store The store.
     * @param peers The peers.
     * @param replica What this instance has adopted.
     * @param timing The times.
     * @param duty Tells the membership duty.
     * @param events The log of events.
     * @param now The present time.
     */
    FreshnessRounds(
            ChangeStore store,
            Peers peers,
            LocalReplica replica,
            Timing timing,
            Inbox duty,
            EventLog events,
            long now) {
        this.store = store;
        this.peers = peers;
        this.replica = replica;
        this.timing = timing;
        this.duty = duty;
        this.events = events;
        StandingState standing = replica.published().standing();
        random = new Random(standing.self().incarnation());
        tree = PullTree.of(standing.view());
        lastRead = now - timing.interval();
        nextPull = now;
        nextAges = now;
    }

    /**
     * Does what is due.
     *
     * @param now The present time.
     */
    void tick(long now) {
        StandingState standing = replica.published().standing();
        boolean late = !standing.freshAt().within(now, timing.late());
        boolean reader = tree().reads(standing.self());
        if (reader || late) {
            read(now, reader);
        }
        if (!reader && now - nextPull >= 0) {
            pull(now);
        }
        if (late && now - nextAges >= 0) {
            askForAges(standing, now);
        }
    }

    /**
     * Takes in a read of the head row.
     *
     * @param begun The moment at which the read began.
     * @param result The head or a failure.
     */
    void take(long begun, Either<Failure, Head> result) {
        reads = Math.max(0, reads - 1);
        if (result.isLeft()) {
            if (backOff == 1) {
                events.record(MembershipEvent.STORE_FAILED, "why", result.getLeft());
            }
            backOff = Math.min(BACK_OFF_MOST, backOff * 2);
            return;
        }
        backOff = 1;
        long version = result.get().version();
        replica.learn(state -> state.withHead(version, begun));
        if (version > replica.version() && !catchingUp) {
            catchingUp = true;
            store.catchUp(replica.published().ledger(), version)
                    .subscribe(progress -> duty.offer(new Input.CaughtUp(progress)));
        }
    }

    /**
     * Takes in a ledger that was brought up to the head.
     *
     * @param input The ledger or a failure.
     */
    void take(Input.CaughtUp input) {
        catchingUp = false;
        input.result()
                .peek(replica::adopt)
                .peekLeft(failure -> events.record(MembershipEvent.STORE_FAILED, "why", failure));
    }

    /**
     * Takes in an answer, or the lack of one.
     *
     * @param input The answer or a failure.
     * @param now The present time.
     */
    void take(Input.Answered input, long now) {
        List<Member> parents = tree().parents(replica.published().standing().self());
        boolean fromParent = !parents.isEmpty()
                && parents.get(parent % parents.size())
                        .id()
                        .equals(input.member().id());
        boolean late = !replica.published().standing().freshAt().within(now, timing.late());
        if (fromParent && (input.result().isLeft() || late)) {
            parent++;
        }
    }

    /**
     * Returns the tree of the present view.
     *
     * @return The tree of the present view.
     */
    PullTree tree() {
        long version = replica.published().standing().view().version();
        if (version != treeVersion) {
            tree = PullTree.of(replica.published().standing().view());
            treeVersion = version;
            parent = 0;
        }
        return tree;
    }

    /**
     * Reads the head row if that is due.
     *
     * @param now The present time.
     * @param reader Whether this instance is a reader.
     */
    private void read(long now, boolean reader) {
        long wait = reader ? timing.interval() : timing.interval() * backOff;
        boolean lost = now - lastRead > timing.window() * 2;
        if (now - lastRead < wait || (reads >= READS_AT_ONCE && !lost)) {
            return;
        }
        reads = lost ? 1 : reads + 1;
        catchingUp = catchingUp && !lost;
        lastRead = now;
        store.head().subscribe(result -> duty.offer(new Input.HeadRead(now, result)));
    }

    /**
     * Pulls from a member of the level above.
     *
     * @param now The present time.
     */
    private void pull(long now) {
        nextPull = now + timing.interval();
        List<Member> parents = tree().parents(replica.published().standing().self());
        if (++pulls >= PREFERRED_AFTER) {
            pulls = 0;
            parent = 0;
        }
        if (!parents.isEmpty()) {
            Member member = parents.get(parent % parents.size());
            peers.ask(member, MembershipRequest.newBuilder().setWantsChanges(true), now);
        }
    }

    /**
     * Asks a member for the ages of all answers.
     *
     * @param standing What this instance knows.
     * @param now The present time.
     */
    private void askForAges(StandingState standing, long now) {
        nextAges = now + timing.lateInterval();
        List<Member> others = standing.view()
                .members()
                .values()
                .filter(member -> !member.id().equals(standing.self()))
                .toJavaList();
        if (!others.isEmpty()) {
            MembershipRequest.Builder request =
                    MembershipRequest.newBuilder().setWantsChanges(true).setWantsAges(true);
            peers.ask(others.get(random.nextInt(others.size())), request, now);
        }
    }
}
