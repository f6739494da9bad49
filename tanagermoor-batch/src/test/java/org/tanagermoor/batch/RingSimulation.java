package org.tanagermoor.batch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Compares, in simulated time, two ways to distribute chunks to instances with idle capacity: lending on demand, and
 * pushing chunks along a ring, where an instance knows of its neighbour only whether its queue is full.
 */
final class RingSimulation {

    private static final int INSTANCES = 12;

    private static final int SLOTS = 4;

    private static final double HOP_MILLIS = 1.5;

    private static final double CHUNK_MILLIS = 400;

    private static final int CHUNKS = 2_000;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::time).thenComparingLong(Event::order));

    private final List<Node> nodes = new ArrayList<>();

    private final Random random;

    private final boolean push;

    private final int capacity;

    private long order;

    private double now;

    private double busy;

    private int messages;

    private int unfinished = CHUNKS;

    private record Event(double time, long order, Runnable action) {}

    /** An instance: the chunks that it lends as steward, its queue of waiting chunks, and its slots to run them. */
    private static final class Node {

        private final Deque<Double> source = new ArrayDeque<>();

        private final Deque<Double> queue = new ArrayDeque<>();

        private final double speed;

        private int idle = SLOTS;

        private int inFlight;

        private boolean asking;

        private int position;

        private Node(double speed) {
            this.speed = speed;
        }
    }

    private RingSimulation(long seed, boolean push, int capacity, int sources, double slowest) {
        random = new Random(seed);
        this.push = push;
        this.capacity = capacity;
        for (int index = 0; index < INSTANCES; index++) {
            nodes.add(new Node(index % 3 == 0 ? slowest : 1));
        }
        for (int chunk = 0; chunk < CHUNKS; chunk++) {
            nodes.get(random.nextInt(sources)).source.add(CHUNK_MILLIS * (0.5 + random.nextDouble()));
        }
    }

    static void run(long seed) {
        System.out.println("way,queue,sources,slowest,makespan_ms,ideal_ms,use_of_slots,messages");
        for (int sources : new int[] {1, 4, 12}) {
            for (double slowest : new double[] {1, 0.25}) {
                new RingSimulation(seed, false, 0, sources, slowest).run("lend", sources, slowest);
                for (int capacity : new int[] {1, 2, 4, 8}) {
                    new RingSimulation(seed, true, capacity, sources, slowest).run("push", sources, slowest);
                }
            }
        }
    }

    private void run(String name, int sources, double slowest) {
        double work = nodes.stream()
                .flatMap(node -> node.source.stream())
                .mapToDouble(Double::doubleValue)
                .sum();
        double rate = nodes.stream().mapToDouble(node -> node.speed * SLOTS).sum();
        nodes.forEach(this::step);
        while (unfinished > 0) {
            Event event = events.poll();
            now = event.time();
            event.action().run();
        }
        System.out.println(String.format(
                Locale.ROOT,
                "%s,%d,%d,%.2f,%.0f,%.0f,%.3f,%d",
                name,
                capacity,
                sources,
                slowest,
                now,
                work / rate,
                busy / (now * INSTANCES * SLOTS),
                messages));
    }

    private void schedule(double delay, Runnable action) {
        events.add(new Event(now + delay, order++, action));
    }

    private void step(Node node) {
        if (push) {
            while (node.queue.size() < capacity && !node.source.isEmpty()) {
                node.queue.add(node.source.poll());
            }
            startAll(node);
            pushToNext(node);
        } else {
            ask(node);
        }
    }

    private void startAll(Node node) {
        while (node.idle > 0 && !node.queue.isEmpty()) {
            start(node, node.queue.poll());
        }
    }

    private void start(Node node, double work) {
        double time = work / node.speed;
        node.idle--;
        busy += time;
        schedule(time, () -> {
            node.idle++;
            unfinished--;
            step(node);
        });
    }

    /** Pushes waiting chunks to the next instance until its queue counts as full, including the chunks in transit. */
    private void pushToNext(Node node) {
        Node next = nodes.get((nodes.indexOf(node) + 1) % INSTANCES);
        while (next.queue.size() + next.inFlight < capacity) {
            Double chunk = node.source.isEmpty() ? takeSurplus(node) : node.source.poll();
            if (chunk == null) {
                return;
            }
            messages += 2;
            next.inFlight++;
            schedule(HOP_MILLIS, () -> {
                next.inFlight--;
                next.queue.add(chunk);
                step(next);
                schedule(HOP_MILLIS, () -> step(node));
            });
        }
    }

    private Double takeSurplus(Node node) {
        return node.idle == 0 && node.queue.size() > 1 ? node.queue.pollLast() : null;
    }

    private void ask(Node node) {
        if (node.asking || node.idle == 0) {
            return;
        }
        node.asking = true;
        Node steward = nodes.get(node.position);
        messages += 2;
        schedule(2 * HOP_MILLIS, () -> {
            node.asking = false;
            if (steward.source.isEmpty()) {
                node.position = (node.position + 1) % INSTANCES;
                schedule(node.position == 0 ? 250 : 20, () -> ask(node));
                return;
            }
            start(node, steward.source.poll());
            ask(node);
        });
    }
}
