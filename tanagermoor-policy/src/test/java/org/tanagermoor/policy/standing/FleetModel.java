package org.tanagermoor.policy.standing;

import io.vavr.collection.Vector;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.configuration.Change;
import org.tanagermoor.policy.configuration.Ledger;
import org.tanagermoor.policy.configuration.RecordedChange;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;

/**
 * A fleet of a few instances whose messages are delayed, reordered and lost, which pause, crash and restart, and which
 * compete to write the head row. A seeded random generator chooses each step.
 */
final class FleetModel {

    static final long WINDOW = 4;

    private final Random random;

    private final Rules rules;

    private final List<Node> nodes = new ArrayList<>();

    private final List<Runnable> messages = new ArrayList<>();

    private final List<RecordedChange> recorded = new ArrayList<>();

    private final List<String> trace = new ArrayList<>();

    private boolean storeUp = true;

    private long now = 1_000;

    private long accepted;

    private long incarnations;

    /** Counts which show that a run reached acceptances and outages. */
    long acceptances;

    long outages;

    FleetModel(long seed, int size, Rules rules) {
        random = new Random(seed);
        this.rules = rules;
        Ledger ledger = Ledger.EMPTY;
        for (int index = 0; index < size; index++) {
            Node node = new Node("n" + index);
            nodes.add(node);
            recorded.add(new RecordedChange(index + 1L, "join" + index, index, new Change.PutMember(node.member)));
            ledger = ledger.with(recorded.get(index)).get().withAccepted(index + 1L);
        }
        accepted = size;
        for (Node node : nodes) {
            node.ledger = ledger;
            node.standing =
                    node.standing.withAdopted(size, ledger.configuration().view());
        }
    }

    /** Runs a number of steps and returns the violation that was found, or an empty string. */
    String run(int steps) {
        for (int step = 0; step < steps; step++) {
            step();
            for (Node node : nodes) {
                node.checkAcceptances();
                Standing standing = node.standing.standing(now);
                outages += node.isRunning() && standing == Standing.OUTAGE ? 1 : 0;
                if (node.isRunning() && standing.serves() && node.ledger.version() < accepted) {
                    return node + " acts with " + standing + " though " + accepted + " is accepted: " + trace;
                }
            }
        }
        return "";
    }

    private void step() {
        Node node = nodes.get(random.nextInt(nodes.size()));
        int choice = random.nextInt(100);
        if (choice < 55 && !messages.isEmpty()) {
            messages.remove(random.nextInt(messages.size())).run();
        } else if (choice < 66) {
            now++;
        } else if (choice < 68 && !messages.isEmpty()) {
            messages.remove(random.nextInt(messages.size()));
        } else if (choice < 91) {
            node.takeAction();
        } else if (choice < 93) {
            node.paused = true;
        } else if (choice < 97) {
            node.paused = false;
        } else if (choice < 98) {
            storeUp = !storeUp;
        } else if (choice < 99 && nodes.stream().filter(Node::isRunning).count() > 1) {
            node.dead = node.dead || random.nextBoolean();
        } else if (node.dead) {
            nodes.set(nodes.indexOf(node), new Node(random.nextBoolean() ? node.name : "m" + incarnations));
        }
    }

    private void note(String text) {
        trace.add(now + " " + text);
    }

    /** The rules under test, and weaker variants of them that the model must refute. */
    enum Rules {
        AS_DECIDED,
        NO_WAIT_AFTER_MAJORITY,
        MAJORITY_OF_LAST_VIEW_ONLY,
        ANSWERS_COUNT_FROM_ARRIVAL,
        MEMBERS_OF_LAST_VIEW_ONLY;

        long acceptanceWindow() {
            return this == NO_WAIT_AFTER_MAJORITY ? -1 : WINDOW;
        }

        ViewChain chain(ViewChain chain) {
            return this == MAJORITY_OF_LAST_VIEW_ONLY || this == MEMBERS_OF_LAST_VIEW_ONLY
                    ? new ViewChain(chain.accepted(), Vector.of(chain.last()))
                    : chain;
        }
    }

    /** One run of an instance. */
    private final class Node {

        private final String name;

        private final Member member;

        private final TreeMap<Long, Acceptance> pending = new TreeMap<>();

        private Ledger ledger = Ledger.EMPTY;

        private StandingState standing;

        private boolean paused;

        private boolean dead;

        private Node(String name) {
            this.name = name;
            Address address = Address.of("127.0.0.1", name.hashCode() & 0xfff);
            member = Member.of(InstanceId.of(name, ++incarnations), FailureDomain.of("d"), address, address);
            standing = StandingState.of(member.id(), WINDOW);
        }

        private boolean isRunning() {
            return !dead && !paused;
        }

        private void takeAction() {
            if (!isRunning()) {
                return;
            }
            switch (random.nextInt(8)) {
                case 0, 1 -> read();
                case 2, 3, 4 -> ask(nodes.get(random.nextInt(nodes.size())));
                case 5 -> commit();
                case 6 -> trackAcceptance(ledger.version());
                default -> nodes.forEach(this::ask);
            }
        }

        private void read() {
            long askedAt = now;
            messages.add(() -> {
                if (storeUp) {
                    long head = recorded.size();
                    List<RecordedChange> changes = List.copyOf(recorded);
                    receive(() -> {
                        standing = standing.withHead(head, askedAt(askedAt));
                        adopt(changes);
                    });
                }
            });
        }

        private void ask(Node peer) {
            if (peer == this) {
                return;
            }
            long askedAt = now;
            long version = ledger.version();
            messages.add(() -> peer.handle(this, version, askedAt));
        }

        private void handle(Node from, long version, long askedAt) {
            if (!isRunning()) {
                return;
            }
            recordAdoption(from.member.id(), version);
            long present = ledger.version();
            long acceptedByPeer = ledger.chain().accepted();
            StandingState state = standing;
            long answeredAt = now;
            List<RecordedChange> changes = List.copyOf(recorded.subList(0, (int) present));
            from.receive(
                    () -> from.handleAnswer(member.id(), present, acceptedByPeer, state, answeredAt, askedAt, changes));
        }

        private void handleAnswer(
                InstanceId peer,
                long version,
                long acceptedByPeer,
                StandingState state,
                long answeredAt,
                long askedAt,
                List<RecordedChange> changes) {
            recordAdoption(peer, version);
            standing = standing.withAnswer(peer, version, askedAt(askedAt));
            if (state.freshAt().within(answeredAt, WINDOW)) {
                standing = standing.withHead(
                        version,
                        askedAt(askedAt) - (answeredAt - state.freshAt().nanos()));
            }
            state.answers().forEach((id, answer) -> {
                if (answer.version() <= version && !id.equals(member.id())) {
                    standing = standing.withAnswer(id, version, askedAt(askedAt) - (answeredAt - answer.askedAt()));
                }
            });
            adopt(changes);
            ledger = ledger.withAccepted(acceptedByPeer);
        }

        private long askedAt(long askedAt) {
            return rules == Rules.ANSWERS_COUNT_FROM_ARRIVAL ? now : askedAt;
        }

        private void receive(Runnable answer) {
            messages.add(() -> {
                if (isRunning()) {
                    answer.run();
                }
            });
        }

        private void commit() {
            RecordedChange change =
                    new RecordedChange(ledger.version() + 1, "c", ledger.chain().accepted(), change());
            if (ledger.with(change).isLeft()) {
                return;
            }
            messages.add(() -> {
                if (storeUp && recorded.size() == change.version() - 1) {
                    recorded.add(change);
                    note(this + " records " + change.version() + " " + change.change());
                    List<RecordedChange> changes = List.copyOf(recorded);
                    receive(() -> {
                        adopt(changes);
                        trackAcceptance(change.version());
                    });
                }
            });
        }

        private Change change() {
            boolean present = standing.view().member(member.id()).isPresent();
            if (!present) {
                return new Change.PutMember(member);
            }
            List<InstanceId> ids = standing.view().ids();
            return random.nextInt(3) == 0 && standing.standing(now) == Standing.FULL
                    ? new Change.RemoveMember(ids.get(random.nextInt(ids.size())))
                    : new Change.TakeOut(FailureDomain.of("d" + now));
        }

        private void adopt(List<RecordedChange> changes) {
            for (RecordedChange change : changes) {
                if (change.version() == ledger.version() + 1) {
                    ledger = ledger.with(change).get();
                }
            }
            standing = standing.withAdopted(
                    ledger.version(), ledger.configuration().view());
        }

        private void trackAcceptance(long version) {
            if (version > ledger.chain().accepted()) {
                pending.putIfAbsent(
                        version,
                        Acceptance.of(version, rules.chain(ledger.chain())).withAdopted(member.id(), ledger.version()));
            }
        }

        private void recordAdoption(InstanceId id, long version) {
            pending.replaceAll((key, acceptance) -> acceptance.withAdopted(id, version));
        }

        private void checkAcceptances() {
            if (!isRunning()) {
                return;
            }
            pending.replaceAll((version, acceptance) ->
                    acceptance.withAdopted(member.id(), ledger.version()).withMajorityChecked(now));
            pending.forEach((version, acceptance) -> {
                if (version > ledger.chain().accepted() && acceptance.accepted(now, rules.acceptanceWindow())) {
                    note(this + " concludes " + version + " by " + acceptance.adopted());
                    ledger = ledger.withAccepted(version);
                    acceptances++;
                }
            });
            accepted = Math.max(accepted, ledger.chain().accepted());
            pending.headMap(ledger.chain().accepted(), true).clear();
            pending.replaceAll((version, acceptance) ->
                    acceptance.withAccepted(ledger.chain().accepted()));
        }

        @Override
        public String toString() {
            return member.id() + "@" + ledger.version();
        }
    }
}
