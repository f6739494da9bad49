package org.tanagermoor.gateway.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.gateway.fleet.FleetTeam;
import org.tanagermoor.policy.budget.RateLimit;
import org.tanagermoor.policy.share.Loan;
import org.tanagermoor.policy.share.RateShares;
import org.tanagermoor.policy.share.ShareClaim;

/**
 * A fleet without sockets whose instances lend each other their shares of the rate of one team, and admit as many
 * requests as they may. Messages are late or lost, instances are cut off from each other and from the store, freeze, end
 * and start again, and each ranks the dispatchers as it likes.
 */
final class ShareExploration {

    /** The name of the team. */
    private static final String TEAM = "shop";

    /** The step of the simulated time in milliseconds. */
    static final long STEP_MILLIS = 10;

    /** The time after which a call counts as not answered, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 500;

    /** The time for which an instance that did not answer is not asked, in milliseconds. */
    private static final long SUSPECT_MILLIS = 2_000;

    /** The same after a second call. */
    private static final long LOST_MILLIS = 30_000;

    /** The interval at which instances that reach each other learn who leaves, in milliseconds. */
    private static final long GOSSIP_MILLIS = 600;

    /** The time after which a call of the store fails, in milliseconds. */
    private static final long STORE_TIMEOUT_MILLIS = 1_500;

    private final Random random;

    private final RateLimit limit;

    private final List<Node> nodes = new ArrayList<>();

    /** What becomes due, in the order of its time. */
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));

    /** The claims in the store by claimant. */
    private final Map<String, ShareClaim> store = new TreeMap<>();

    /** The times at which requests were admitted, in milliseconds. */
    private final List<Long> admitted = new ArrayList<>();

    private final List<String> usedTwice = new ArrayList<>();

    private double mostFractions;

    private long storeVersion;

    /** The largest usual delay of a message in milliseconds. */
    private long maxDelayMillis = 5;

    /** The largest delay of a few messages in milliseconds. */
    private long lateMillis;

    private long number;

    private long nowMillis = 100_000;

    ShareExploration(long seed, int size, RateLimit limit) {
        random = new Random(seed);
        this.limit = limit;
        for (int index = 0; index < size; index++) {
            nodes.add(new Node("n" + index));
        }
        nodes.forEach(Node::start);
    }

    long millis() {
        return nowMillis;
    }

    int size() {
        return nodes.size();
    }

    Random random() {
        return random;
    }

    /** Sets the largest delays in milliseconds: that of most messages, and that of a few. */
    void maxDelays(long usual, long late) {
        maxDelayMillis = usual;
        lateMillis = late;
    }

    /** Puts an instance into a group; only instances of one group reach each other. */
    void group(int node, int group) {
        nodes.get(node).group = group;
    }

    /** Sets whether an instance reaches the store. */
    void storeReachable(int node, boolean reachable) {
        nodes.get(node).storeReachable = reachable;
    }

    /** Ends an instance at once. It starts again after some time in milliseconds, or never if that is below 0. */
    void kill(int node, long downMillis) {
        nodes.get(node).kill(downMillis);
    }

    /** Lets an instance do nothing for some time in milliseconds. */
    void freeze(int node, long millis) {
        nodes.get(node).frozenUntil = nowMillis + millis;
    }

    /** Lets an instance leave as planned, and end and start again afterwards. */
    void leave(int node) {
        nodes.get(node).leave();
    }

    /** Changes the order in which an instance prefers dispatchers. */
    void shuffleRanks(int node) {
        nodes.get(node).rankSeed = random.nextLong();
    }

    /** Lets all instances prefer the same dispatchers again. */
    void agreeOnRanks() {
        long seed = random.nextLong();
        nodes.forEach(node -> node.rankSeed = seed);
    }

    /** Lets time pass. */
    void advance(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; ) {
            nowMillis += STEP_MILLIS;
            while (!events.isEmpty() && events.peek().at <= nowMillis) {
                events.poll().action.run();
            }
            nodes.forEach(Node::step);
            mostFractions = Math.max(mostFractions, fractions());
            recordSharesUsedTwice();
        }
    }

    /** Records each share that two instances use at the same time. */
    private void recordSharesUsedTwice() {
        Map<String, String> users = new HashMap<>();
        for (Node node : nodes) {
            if (node.acts() && node.rates.fraction() > 0) {
                for (String share : node.shares.had(nanos())) {
                    String other = users.put(share, node.run());
                    if (other != null) {
                        usedTwice.add(
                                "the share of " + share + " by " + other + " and " + node.run() + " at " + nowMillis);
                    }
                }
            }
        }
    }

    /** Returns the shares that two instances used at the same time. */
    List<String> usedTwice() {
        return usedTwice;
    }

    /** Returns the largest sum of the parts of the rate that the instances could admit so far. */
    double mostFractions() {
        return mostFractions;
    }

    /** Returns the sum of the parts of the rate that the instances may admit now. */
    double fractions() {
        return nodes.stream()
                .filter(Node::acts)
                .mapToDouble(node -> node.rates.fraction())
                .sum();
    }

    /** Returns the number of requests that were admitted in the last milliseconds. */
    long admittedWithin(long millis) {
        return admitted.stream().filter(at -> at > nowMillis - millis).count();
    }

    /** Returns the largest number of requests that were admitted within a window in milliseconds. */
    int mostAdmitted(long windowMillis) {
        int most = 0;
        int from = 0;
        for (int to = 0; to < admitted.size(); to++) {
            while (admitted.get(to) - admitted.get(from) >= windowMillis) {
                from++;
            }
            most = Math.max(most, to - from + 1);
        }
        return most;
    }

    /** Describes what each instance uses, for a failed test. */
    String describe() {
        StringBuilder text = new StringBuilder();
        for (Node node : nodes) {
            text.append(node.name)
                    .append(node.acts() ? " " : " (down) ")
                    .append(node.group)
                    .append(" asks ")
                    .append(node.dispatcher().name)
                    .append(" fraction ")
                    .append(node.rates.fraction())
                    .append(" has ")
                    .append(node.shares.had(nanos()))
                    .append(" lost ")
                    .append(node.shares.lost(nanos()))
                    .append(node.storeReachable ? "" : " no store")
                    .append(node.leaving ? " leaving" : "")
                    .append(" knows leaving ")
                    .append(node.leavingOthers)
                    .append('\n');
        }
        return text.toString();
    }

    private long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMillis);
    }

    private void after(long millis, Runnable action) {
        events.add(new Event(nowMillis + millis, ++number, action));
    }

    /** Returns how long a message takes, in milliseconds. */
    private long delay() {
        return lateMillis > 0 && random.nextInt(50) == 0
                ? random.nextLong(lateMillis)
                : 1 + random.nextLong(maxDelayMillis);
    }

    /** Something that happens at a time in milliseconds. */
    private record Event(long at, long number, Runnable action) {}

    /** An instance. */
    private final class Node {

        private final String name;

        private final Map<String, Long> suspectedUntil = new HashMap<>();

        /** The names of the instances that this one knows. */
        private final Set<String> known = new HashSet<>();

        /** The instances that this one knows to leave. */
        private final Set<String> leavingOthers = new HashSet<>();

        private RateShares shares = RateShares.of("", "", 0);

        private TeamRates rates = TeamRates.of();

        private int run;

        private int group;

        private boolean storeReachable = true;

        private boolean down;

        private boolean leaving;

        private long frozenUntil;

        private long rankSeed;

        private long calledAt;

        private long claimedAt;

        private long gossipedAt;

        Node(String name) {
            this.name = name;
        }

        private String run() {
            return name + "~" + run;
        }

        void start() {
            run++;
            down = false;
            leaving = false;
            suspectedUntil.clear();
            leavingOthers.clear();
            known.clear();
            // The table of instances in the store names all of them.
            nodes.forEach(node -> known.add(node.name));
            known.remove(name);
            shares = RateShares.of(name, run(), nanos());
            rates = TeamRates.of();
            calledAt = 0;
            claimedAt = 0;
            members();
            rates.fraction(shares.fraction(isDispatcher(), nanos()), shares.takeFresh(), nanos());
            rates.teams(List.of(new FleetTeam(TEAM, limit, true)), nanos());
        }

        void kill(long downMillis) {
            if (down) {
                return;
            }
            down = true;
            int ended = ++run;
            if (downMillis >= 0) {
                after(downMillis, () -> {
                    if (down && run == ended) {
                        start();
                    }
                });
            }
        }

        void leave() {
            if (down || leaving) {
                return;
            }
            leaving = true;
            members();
            for (Node node : nodes) {
                if (node != this && node.group == group) {
                    after(delay(), () -> node.learnLeaving(this));
                }
            }
            int leavingRun = run;
            after(4_000, () -> {
                if (run == leavingRun) {
                    kill(random.nextInt(1_500));
                }
            });
        }

        /** Learns whether another instance leaves, or has started again. */
        private void learnState(Node other) {
            if (other.acts()) {
                suspectedUntil.computeIfPresent(
                        other.name, (name, until) -> Math.min(until, nowMillis + SUSPECT_MILLIS));
            }
            if (!other.down && (other.leaving ? leavingOthers.add(other.name) : leavingOthers.remove(other.name))) {
                members();
            }
        }

        private void learnLeaving(Node other) {
            if (other.leaving) {
                leavingOthers.add(other.name);
                shares.released(other.run(), nanos());
                members();
            }
        }

        private void members() {
            Set<String> serving = new HashSet<>(known);
            serving.removeAll(leavingOthers);
            Set<String> others = serving.isEmpty() ? Set.copyOf(known) : serving;
            shares.members(others, others.size(), leaving && !serving.isEmpty());
        }

        boolean acts() {
            return !down && nowMillis >= frozenUntil;
        }

        /** Returns the instance that this one asks. */
        Node dispatcher() {
            return nodes.stream()
                    .filter(node -> node == this ? !leaving : candidate(node))
                    .min(Comparator.comparingLong(node -> new Random(rankSeed ^ node.name.hashCode()).nextLong()))
                    .orElse(this);
        }

        private boolean candidate(Node node) {
            return !leavingOthers.contains(node.name) && suspectedUntil.getOrDefault(node.name, 0L) <= nowMillis;
        }

        private boolean isDispatcher() {
            return dispatcher() == this;
        }

        void step() {
            if (!acts()) {
                return;
            }
            if (nowMillis - gossipedAt >= GOSSIP_MILLIS) {
                gossipedAt = nowMillis;
                nodes.stream()
                        .filter(node -> node != this && node.group == group)
                        .forEach(this::learnState);
            }
            Node dispatcher = dispatcher();
            if (dispatcher != this
                    && (nowMillis - calledAt >= shares.renewal().toMillis() || shares.lendable(nanos()))) {
                call(dispatcher);
            }
            if (shares.claimDue(nanos())
                    && nowMillis - claimedAt >= RateShares.claimInterval().toMillis()) {
                claim();
            }
            rates.fraction(shares.fraction(dispatcher == this, nanos()), shares.takeFresh(), nanos());
            while (rates.take(TEAM, nanos()) == 0) {
                admitted.add(nowMillis);
            }
        }

        /** Asks a dispatcher. */
        private void call(Node dispatcher) {
            calledAt = nowMillis;
            long sentAt = nanos();
            int caller = run;
            String called = dispatcher.run();
            Loan loan = shares.lend(called, sentAt);
            boolean[] answered = {false};
            deliver(this, dispatcher, () -> {
                if (!dispatcher.run().equals(called)) {
                    return;
                }
                dispatcher.suspectedUntil.remove(name);
                dispatcher.shares.borrow(name, loan, nanos());
                long stamp = dispatcher.shares.stamp(nanos());
                boolean mostShares = dispatcher.shares.mostShares(nanos());
                boolean leaves = dispatcher.leaving;
                deliver(dispatcher, this, () -> {
                    answered[0] = true;
                    if (run == caller) {
                        suspectedUntil.remove(dispatcher.name);
                        shares.answered(called, stamp, mostShares, loan, sentAt, nanos());
                        if (leaves) {
                            learnLeaving(dispatcher);
                        }
                    }
                });
            });
            after(TIMEOUT_MILLIS, () -> {
                if (!answered[0] && run == caller) {
                    // One that does not answer a second time counts as lost until it is heard of again.
                    long silence = suspectedUntil.containsKey(dispatcher.name) ? LOST_MILLIS : SUSPECT_MILLIS;
                    suspectedUntil.put(dispatcher.name, nowMillis + silence + random.nextInt(3_000));
                }
            });
        }

        /** Claims the shares that this instance has, and reads the claims of others. */
        private void claim() {
            claimedAt = nowMillis;
            if (!storeReachable) {
                return;
            }
            int caller = run;
            long sentAt = nanos();
            Set<String> names = Set.copyOf(shares.had(sentAt));
            long latency = storeLatency();
            after(latency / 2, () -> store.put(name, new ShareClaim(name, ++storeVersion, names)));
            after(latency, () -> {
                if (run == caller && acts()) {
                    shares.claimed(names, sentAt, nanos());
                    readClaims(caller);
                }
            });
        }

        private void readClaims(int caller) {
            long sentAt = nanos();
            long latency = storeLatency();
            List<ShareClaim> found = new ArrayList<>();
            after(latency / 2, () -> found.addAll(store.values()));
            after(latency, () -> {
                if (run == caller && storeReachable && acts()) {
                    shares.claimsRead(found, sentAt, nanos());
                }
            });
        }

        private long storeLatency() {
            return random.nextInt(20) == 0 ? random.nextLong(STORE_TIMEOUT_MILLIS) : 4 + random.nextLong(10);
        }

        /** Delivers a message unless it is lost, or its receiver has ended by then. */
        private void deliver(Node from, Node to, Runnable action) {
            int receiver = to.run;
            boolean blocked = from.group != to.group;
            if (blocked && random.nextBoolean()) {
                return;
            }
            attempt(from, to, receiver, action, delay());
        }

        private void attempt(Node from, Node to, int receiver, Runnable action, long millis) {
            after(millis, () -> {
                if (to.run != receiver || to.down) {
                    return;
                }
                if (from.group != to.group || !to.acts()) {
                    attempt(from, to, receiver, action, 20 + random.nextInt(200));
                } else {
                    action.run();
                }
            });
        }

        /** {@inheritDoc} */
        @Override
        public @Nullable String toString() {
            return run();
        }
    }
}
