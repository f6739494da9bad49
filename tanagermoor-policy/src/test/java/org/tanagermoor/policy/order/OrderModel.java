package org.tanagermoor.policy.order;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.tanagermoor.policy.configuration.EngineState;

/** A small fleet that gives orders to one target, with the time as a value. */
final class OrderModel {

    static final EngineState START = EngineState.of("base", "1", List.of(), "whole");

    private static final long MILLI = 1_000_000;
    private static final long LOAD_MILLIS = 20_000;

    /** What the fleet agreed on: who is the steward, and what is wanted. */
    record Version(long view, int steward, EngineState wanted) {}

    record Taken(Fence fence, Order order) {}

    private record Flight(Node from, Step.Send send, long sentAt, long arrives) {}

    final List<Node> nodes = new ArrayList<>();
    final List<Version> versions = new ArrayList<>();
    final List<Taken> record = new ArrayList<>();
    final List<String> faults = new ArrayList<>();
    final SplittableRandom random;
    final boolean checks;

    long now = 1_000_000 * MILLI;
    int accepted;
    double loss;
    long delayMillis = 10;
    int loadsTaken;
    EngineState state = START;

    private final List<Flight> flights = new ArrayList<>();
    private final List<Long> acceptedAt = new ArrayList<>();
    private long fence;
    private long readyAt;

    OrderModel(long seed, int size, boolean checks) {
        this.checks = checks;
        random = new SplittableRandom(seed);
        for (int index = 0; index < size; index++) {
            nodes.add(new Node(index));
        }
        versions.add(new Version(1, 0, START));
        acceptedAt.add(now);
    }

    void change(int steward, EngineState wanted) {
        Version last = versions.getLast();
        long view = last.steward() == steward ? last.view() : versions.size() + 1;
        versions.add(new Version(view, steward, wanted));
        acceptedAt.add(Long.MAX_VALUE);
    }

    void acceptAll() {
        nodes.stream().filter(node -> !node.paused && !node.dead).forEach(node -> node.adopted = versions.size() - 1);
        accept(versions.size() - 1);
    }

    void accept(int version) {
        for (int index = accepted + 1; index <= version; index++) {
            acceptedAt.set(index, now);
        }
        accepted = Math.max(accepted, version);
    }

    void restart() {
        state = START;
        readyAt = now + LOAD_MILLIS / 2 * MILLI;
    }

    void run(long millis) {
        for (long passed = 0; passed < millis; passed += 100) {
            now += 100 * MILLI;
            arrive();
            nodes.forEach(Node::act);
        }
    }

    boolean underWay() {
        return !flights.isEmpty();
    }

    boolean ready() {
        return now >= readyAt;
    }

    private void arrive() {
        List<Flight> due =
                flights.stream().filter(flight -> flight.arrives <= now).toList();
        flights.removeAll(due);
        for (Flight flight : due) {
            Outcome outcome = take(flight.send);
            if (random.nextDouble() >= loss && !flight.from.paused) {
                flight.from.orders.end(flight.send.fence(), outcome);
            }
        }
    }

    private Outcome take(Step.Send send) {
        long number = send.fence().number();
        if (checks && number < fence) {
            return Outcome.REFUSED;
        }
        if (!record.isEmpty() && record.getLast().fence().number() > number) {
            faults.add("an older order took effect after a newer one: " + send);
        }
        fence = Math.max(fence, number);
        record.add(new Taken(send.fence(), send.order()));
        EngineState next = send.order().applied(state);
        if (!next.equals(state) && send.order().interrupts()) {
            readyAt = now + LOAD_MILLIS * MILLI;
        }
        state = next;
        return Outcome.TAKEN;
    }

    final class Node {

        private final int index;
        TargetOrders orders = TargetOrders.of();
        int adopted;
        boolean paused;
        boolean dead;

        Node(int index) {
            this.index = index;
        }

        void act() {
            boolean standing = adopted >= accepted;
            Version version = versions.get(adopted);
            if (paused || dead || !standing || version.steward() != index) {
                return;
            }
            OrderContext context =
                    new OrderContext(Optional.of(version.wanted()), checks, version.view(), since(version.view()));
            switch (orders.next(context, now)) {
                case Step.Wait wait -> {}
                case Step.Read reading -> read(reading);
                case Step.TakeLoad load -> {
                    loadsTaken++;
                    orders.takeLoad(random.nextInt(4) > 0);
                }
                case Step.Send send -> send(send);
            }
        }

        private OptionalLong since(long view) {
            int first = adopted;
            while (first > 0 && versions.get(first - 1).view() == view) {
                first--;
            }
            return first <= accepted ? OptionalLong.of(acceptedAt.get(first)) : OptionalLong.empty();
        }

        private void read(Step.Read reading) {
            if (random.nextDouble() >= loss) {
                orders.report(reading.number(), new EngineReport(state, ready(), 0, checks ? fence : 0), now);
            }
        }

        private void send(Step.Send send) {
            boolean other = flights.stream()
                    .anyMatch(flight -> flight.from == this && now - flight.sentAt < TargetOrders.FLIGHT_NANOS);
            if (other) {
                faults.add("two orders are under way: " + send);
            }
            if (send.order().interrupts() && !orders.withheld()) {
                faults.add("permits are lent while an engine is reloaded: " + send);
            }
            flights.add(new Flight(this, send, now, now + random.nextLong(delayMillis + 1) * MILLI));
        }
    }
}
