package org.tanagermoor.policy.order;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.tanagermoor.policy.configuration.EngineState;

/** A simulation of a small fleet that sends orders to one target, with simulated time. */
final class OrderModel {

    static final EngineState INITIAL_STATE = EngineState.of("base", "1", List.of(), "whole");

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long LOAD_MILLIS = 20_000;

    /** A state that the fleet agreed on: the steward, and the desired state of the engine. */
    record Version(long view, int steward, EngineState wanted) {}

    record AppliedOrder(Fence fence, Order order) {}

    private record Flight(Node from, Step.Send send, long sentAt, long arrivesAt) {}

    final List<Node> nodes = new ArrayList<>();
    final List<Version> versions = new ArrayList<>();
    final List<AppliedOrder> record = new ArrayList<>();
    final List<String> faults = new ArrayList<>();
    final SplittableRandom random;
    final boolean checksFencing;

    long now = 1_000_000 * NANOS_PER_MILLI;
    int accepted;
    double lossRate;
    long delayMillis = 10;
    int loadsTaken;
    EngineState state = INITIAL_STATE;

    private final List<Flight> flights = new ArrayList<>();
    private final List<Long> acceptedAt = new ArrayList<>();
    private long fence;
    private long readyAt;

    OrderModel(long seed, int size, boolean checksFencing) {
        this.checksFencing = checksFencing;
        random = new SplittableRandom(seed);
        for (int index = 0; index < size; index++) {
            nodes.add(new Node(index));
        }
        versions.add(new Version(1, 0, INITIAL_STATE));
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
        state = INITIAL_STATE;
        readyAt = now + LOAD_MILLIS / 2 * NANOS_PER_MILLI;
    }

    void run(long millis) {
        for (long passed = 0; passed < millis; passed += 100) {
            now += 100 * NANOS_PER_MILLI;
            deliver();
            nodes.forEach(Node::act);
        }
    }

    boolean orderInFlight() {
        return !flights.isEmpty();
    }

    boolean ready() {
        return now >= readyAt;
    }

    private void deliver() {
        List<Flight> due =
                flights.stream().filter(flight -> flight.arrivesAt <= now).toList();
        flights.removeAll(due);
        for (Flight flight : due) {
            Outcome outcome = apply(flight.send);
            if (random.nextDouble() >= lossRate && !flight.from.paused) {
                flight.from.orders.end(flight.send.fence(), outcome);
            }
        }
    }

    private Outcome apply(Step.Send send) {
        long number = send.fence().number();
        if (checksFencing && number < fence) {
            return Outcome.REFUSED;
        }
        if (!record.isEmpty() && record.getLast().fence().number() > number) {
            faults.add("an older order took effect after a newer one: " + send);
        }
        fence = Math.max(fence, number);
        record.add(new AppliedOrder(send.fence(), send.order()));
        EngineState next = send.order().applied(state);
        if (!next.equals(state) && send.order().interrupts()) {
            readyAt = now + LOAD_MILLIS * NANOS_PER_MILLI;
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
            OrderContext context = new OrderContext(
                    Optional.of(version.wanted()), checksFencing, version.view(), since(version.view()));
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
            if (random.nextDouble() >= lossRate) {
                orders.report(reading.number(), new EngineReport(state, ready(), 0, checksFencing ? fence : 0), now);
            }
        }

        private void send(Step.Send send) {
            boolean anotherInFlight = flights.stream()
                    .anyMatch(flight -> flight.from == this && now - flight.sentAt < TargetOrders.MAX_FLIGHT_NANOS);
            if (anotherInFlight) {
                faults.add("two orders are in flight: " + send);
            }
            if (send.order().interrupts() && !orders.withheld()) {
                faults.add("permits are lent while an engine is reloaded: " + send);
            }
            flights.add(new Flight(this, send, now, now + random.nextLong(delayMillis + 1) * NANOS_PER_MILLI));
        }
    }
}
