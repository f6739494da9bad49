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
 * Keeps this instance informed of the latest version. A reader reads the head row; the other members pull from a member
 * of the level above. While freshness is late, members also ask one another for the ages of the answers that they have.
 * Used only by the thread of the membership duty.
 */
final class FreshnessUpdater {

    private static final int MAX_CONCURRENT_READS = 4;

    /** The maximum number of intervals between two reads of an instance that is not a reader, while the store fails. */
    private static final int MAX_BACKOFF_INTERVALS = 16;

    /** The number of pulls after which the preferred member of the level above is tried again. */
    private static final int PULLS_BEFORE_PREFERRED = 25;

    private final ChangeStore store;

    private final Peers peers;

    private final LocalReplica replica;

    private final Timing timing;

    /** Receives the results of reads, for the membership duty. */
    private final Inbox inbox;

    private final EventLog events;

    /** Chooses the member to ask for ages while freshness is late. */
    private final Random random;

    /** The tree for the view with version {@link #treeVersion}. */
    private PullTree tree;

    private long treeVersion;

    /** The number of reads that are not answered yet. */
    private int reads;

    private long lastReadAt;

    /** The number of intervals between two reads of an instance that is not a reader; doubles while the store fails. */
    private int backoffIntervals = 1;

    private long nextPullAt;

    /** The number of pulls since the preferred member was last tried. */
    private int pullsSincePreferred;

    /**
     * The index of the member to pull from among the members of the level above; 0 is the preferred one. Taken modulo
     * their number.
     */
    private int parentIndex;

    private long nextAgesRequestAt;

    /** Whether the ledger is being brought up to the head. */
    private boolean catchingUp;

    /**
     * Creates an updater whose first read and pull are due immediately.
     *
     * @param inbox Receives the results of reads, for the membership duty.
     * @param now The current monotonic time in nanoseconds.
     */
    FreshnessUpdater(
            ChangeStore store,
            Peers peers,
            LocalReplica replica,
            Timing timing,
            Inbox inbox,
            EventLog events,
            long now) {
        this.store = store;
        this.peers = peers;
        this.replica = replica;
        this.timing = timing;
        this.inbox = inbox;
        this.events = events;
        StandingState standing = replica.published().standing();
        random = new Random(standing.self().incarnation());
        tree = PullTree.of(standing.view());
        lastReadAt = now - timing.interval();
        nextPullAt = now;
        nextAgesRequestAt = now;
    }

    /**
     * Starts the reads, pulls and requests for ages that are due.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    void tick(long now) {
        StandingState standing = replica.published().standing();
        boolean late = !standing.freshAt().within(now, timing.late());
        boolean isReader = tree().reads(standing.self());
        if (isReader || late) {
            read(now, isReader);
        }
        if (!isReader && now - nextPullAt >= 0) {
            pull(now);
        }
        if (late && now - nextAgesRequestAt >= 0) {
            askForAges(standing, now);
        }
    }

    /**
     * Observes the result of a read of the head row. A head that is later than the adopted version starts a catch-up.
     *
     * @param startedAt The time at which the read started.
     * @param result The head or a failure.
     */
    void observe(long startedAt, Either<Failure, Head> result) {
        reads = Math.max(0, reads - 1);
        if (result.isLeft()) {
            if (backoffIntervals == 1) {
                events.record(MembershipEvent.STORE_FAILED, "why", result.getLeft());
            }
            backoffIntervals = Math.min(MAX_BACKOFF_INTERVALS, backoffIntervals * 2);
            return;
        }
        backoffIntervals = 1;
        long version = result.get().version();
        replica.updateStanding(state -> state.withHead(version, startedAt));
        if (version > replica.version() && !catchingUp) {
            catchingUp = true;
            store.catchUp(replica.published().ledger(), version)
                    .subscribe(progress -> inbox.offer(new Input.CaughtUp(progress)));
        }
    }

    /** Observes the result of a catch-up with the head. */
    void observe(Input.CaughtUp input) {
        catchingUp = false;
        input.result()
                .peek(replica::adopt)
                .peekLeft(failure -> events.record(MembershipEvent.STORE_FAILED, "why", failure));
    }

    /**
     * Observes the result of a request to a peer. If it came from the member to pull from, and failed or left freshness
     * late, the next pull goes to another member.
     *
     * @param input The result of the request.
     * @param now The current monotonic time in nanoseconds.
     */
    void observe(Input.CallCompleted input, long now) {
        List<Member> parents = tree().parents(replica.published().standing().self());
        boolean fromParent = !parents.isEmpty()
                && parents.get(parentIndex % parents.size())
                        .id()
                        .equals(input.member().id());
        boolean late = !replica.published().standing().freshAt().within(now, timing.late());
        if (fromParent && (input.result().isLeft() || late)) {
            parentIndex++;
        }
    }

    /** Returns the tree of the current view; it is computed again when the view changes. */
    PullTree tree() {
        long version = replica.published().standing().view().version();
        if (version != treeVersion) {
            tree = PullTree.of(replica.published().standing().view());
            treeVersion = version;
            parentIndex = 0;
        }
        return tree;
    }

    /**
     * Reads the head row if that is due. Reads that have not been answered for two freshness windows count as lost.
     *
     * @param isReader Whether this instance is a reader.
     */
    private void read(long now, boolean isReader) {
        long minInterval = isReader ? timing.interval() : timing.interval() * backoffIntervals;
        boolean timedOut = now - lastReadAt > timing.window() * 2;
        if (now - lastReadAt < minInterval || (reads >= MAX_CONCURRENT_READS && !timedOut)) {
            return;
        }
        reads = timedOut ? 1 : reads + 1;
        catchingUp = catchingUp && !timedOut;
        lastReadAt = now;
        store.head().subscribe(result -> inbox.offer(new Input.HeadRead(now, result)));
    }

    /** Pulls from a member of the level above. */
    private void pull(long now) {
        nextPullAt = now + timing.interval();
        List<Member> parents = tree().parents(replica.published().standing().self());
        if (++pullsSincePreferred >= PULLS_BEFORE_PREFERRED) {
            pullsSincePreferred = 0;
            parentIndex = 0;
        }
        if (!parents.isEmpty()) {
            Member member = parents.get(parentIndex % parents.size());
            peers.ask(member, MembershipRequest.newBuilder().setWantsChanges(true), now);
        }
    }

    /**
     * Asks a random member for the ages of the answers that it has.
     *
     * @param standing What this instance knows about its standing.
     */
    private void askForAges(StandingState standing, long now) {
        nextAgesRequestAt = now + timing.lateInterval();
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
