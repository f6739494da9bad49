package org.tanagermoor.policy.budget;

import io.vavr.collection.HashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.configuration.Team;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.TeamId;
import org.tanagermoor.policy.fleet.View;

/** A model of a few instances that share one budget over a network that loses, delays and duplicates messages. */
final class BudgetModel {

    static final long MILLI = 1_000_000;

    private static final long TICK = 5;

    static final String BUDGET = "team/t";

    private static final Address ADDRESS = Address.of("127.0.0.1", 1);

    final List<Node> nodes = new ArrayList<>();

    final List<Configuration> versions = new ArrayList<>();

    private final PriorityQueue<Delivery> network = new PriorityQueue<>(Comparator.comparingLong(Delivery::at));

    private final SplittableRandom random;

    double loss;

    double repeats;

    long delayMillis = 2;

    long now;

    long accepted;

    double admitted;

    double lowestLevel;

    private double rate;

    private double burst;

    private double level;

    private long levelAt;

    BudgetModel(long seed, int size, double rate, double burst) {
        random = new SplittableRandom(seed);
        this.rate = rate;
        this.burst = burst;
        level = burst;
        List<Member> members = new ArrayList<>();
        for (int index = 0; index < size; index++) {
            members.add(join().member);
        }
        install(View.of(1, members));
        nodes.forEach(node -> node.adopt(versions.getLast()));
        accepted = 1;
    }

    Node join() {
        int number = nodes.size() + 1;
        Node node = new Node(
                Member.of(InstanceId.of("i" + number, number), FailureDomain.of("d"), ADDRESS, ADDRESS),
                random.nextLong(1L << 40));
        nodes.add(node);
        return node;
    }

    void install(View view) {
        Configuration empty = Configuration.EMPTY;
        TeamId team = TeamId.of("t");
        versions.add(new Configuration(
                versions.size() + 1,
                "change",
                empty.presetInForce(),
                empty.presets(),
                HashMap.of(team, Team.of(team, rate, burst, 1)),
                empty.keys(),
                empty.services(),
                empty.targets(),
                empty.domainsOut(),
                view));
    }

    void limit(double newRate, double newBurst) {
        rate = newRate;
        burst = newBurst;
        install(view());
    }

    /**
     * Resets the checked level to the burst, so that only what is admitted from now on is checked against the current
     * limit.
     */
    void resetLevel() {
        level = burst;
        levelAt = now;
    }

    View view() {
        return versions.getLast().view();
    }

    Node steward(int part) {
        ShareKey primary = ShareKey.primary(BUDGET);
        InstanceId id = new ShareKey(BUDGET, part)
                .steward(view())
                .or(() -> primary.steward(view()))
                .orElseThrow();
        return nodes.stream()
                .filter(node -> node.member.id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    void acceptView() {
        accepted = view().version();
    }

    /** Accepts a version that a majority of its members adopted; members with an older view lose their standing. */
    void accept(Configuration candidate) {
        View view = candidate.view();
        long adopted = nodes.stream()
                .filter(node -> view.member(node.member.id()).isPresent())
                .filter(node -> node.configuration.view().version() >= view.version())
                .count();
        if (adopted >= view.majority()) {
            accepted = Math.max(accepted, view.version());
        }
    }

    void advance(long millis) {
        for (long step = 0; step < millis; step++) {
            now += MILLI;
            List<Delivery> postponed = new ArrayList<>();
            while (!network.isEmpty() && network.peek().at() <= now) {
                Delivery delivery = network.poll();
                if (delivery.to().paused) {
                    postponed.add(new Delivery(now + MILLI, delivery.from(), delivery.to(), delivery.action()));
                } else if (!delivery.to().dead) {
                    delivery.action().run();
                }
            }
            network.addAll(postponed);
            if (step % TICK == 0) {
                nodes.stream().filter(Node::runs).forEach(Node::tick);
            }
        }
    }

    private void send(Node from, Node to, Runnable action) {
        if (from == to) {
            action.run();
            return;
        }
        int copies = random.nextDouble() < repeats ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            if (!from.isolated && !to.isolated && random.nextDouble() >= loss) {
                long delay = 1 + random.nextLong(delayMillis);
                network.add(new Delivery(now + delay * MILLI, from, to, action));
            }
        }
    }

    private void admit(double amount) {
        level = Math.min(burst, level + rate * (now - levelAt) / 1e9) - amount;
        levelAt = now;
        admitted += amount;
        lowestLevel = Math.min(lowestLevel, level);
    }

    private Optional<Node> node(InstanceId id) {
        return nodes.stream().filter(node -> node.member.id().equals(id)).findFirst();
    }

    private record Delivery(long at, Node from, Node to, Runnable action) {}

    final class Node {

        final Member member;

        final RateSteward steward;

        final RateBorrower<Integer> borrower = RateBorrower.create();

        private final long offset;

        Configuration configuration = Configuration.EMPTY;

        boolean paused;

        boolean dead;

        boolean isolated;

        boolean knowsAcceptance = true;

        int refused;

        int withoutShare;

        int taken;

        private Node(Member member, long offset) {
            this.member = member;
            this.offset = offset;
            steward = RateSteward.of(member.id());
        }

        boolean runs() {
            return !paused && !dead;
        }

        private long clock() {
            return now + offset;
        }

        void adopt(Configuration value) {
            if (value.version() > configuration.version()) {
                configuration = value;
                steward.adopt(value);
                borrower.adopt(value, clock());
            }
        }

        boolean standing() {
            boolean isMember = configuration.view().member(member.id()).isPresent();
            return isMember && configuration.view().version() >= accepted;
        }

        void request(double amount, long timeoutMillis) {
            if (!runs() || !standing()) {
                return;
            }
            if (borrower.take(BUDGET, amount, clock())) {
                taken++;
                admit(amount);
                return;
            }
            ShareWaiter<Integer> waiter = new ShareWaiter<>(0, amount, clock(), clock() + timeoutMillis * MILLI);
            refused += borrower.await(BUDGET, waiter, clock()) ? 0 : 1;
            sendRequests();
        }

        private void tick() {
            if (!standing()) {
                return;
            }
            if (knowsAcceptance && configuration.view().version() == accepted) {
                steward.accept(clock());
            }
            applyOutcomes(borrower.tick(clock()));
            sendRequests();
            steward.wantsHoldings().ifPresent(this::poll);
        }

        private void sendRequests() {
            borrower.requests(clock())
                    .forEach((id, loanRequest) ->
                            node(id).ifPresent(to -> send(this, to, () -> to.answer(this, loanRequest))));
        }

        private void answer(Node from, LoanRequest loanRequest) {
            if (standing()) {
                LoanResponse answer = steward.answer(from.member.id(), loanRequest, clock());
                send(this, from, () -> from.handleResponse(this, answer));
            }
        }

        private void handleResponse(Node from, LoanResponse answer) {
            if (standing()) {
                applyOutcomes(borrower.answer(from.member.id(), answer, clock()));
            }
        }

        private void poll(long version) {
            for (InstanceId id : steward.missingHoldings()) {
                node(id).ifPresent(to -> send(this, to, () -> to.reportHoldings(this, version)));
            }
        }

        private void reportHoldings(Node to, long version) {
            borrower.holdings(to.member.id(), version, clock())
                    .ifPresent(
                            unspent -> send(this, to, () -> to.steward.reportHoldings(member.id(), version, unspent)));
        }

        private void applyOutcomes(List<ShareOutcome<Integer>> outcomes) {
            for (ShareOutcome<Integer> outcome : outcomes) {
                switch (outcome.result()) {
                    case TAKEN -> {
                        taken++;
                        admit(outcome.waiter().amount());
                    }
                    case USED_UP -> refused++;
                    case NO_SHARE -> withoutShare++;
                }
            }
        }
    }
}
