package org.tanagermoor.policy.target;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.configuration.Target;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TargetId;

/**
 * Measures the choice of a target in a simulation: prefixes with a Zipf distribution, a bounded prefix cache in each
 * target, and loads that are known with a delay. Not a test; run it by hand, with the seed as its argument.
 */
public final class RoutingMeasurement {

    private static final PrintStream OUT = System.out;

    private static final int TARGETS = 12;

    private static final int DOMAINS = 3;

    private static final int CAPACITY = 32;

    private static final int PREFIXES = 600;

    private static final int CACHED_PREFIXES = 40;

    private static final double HIT_MILLIS = 300;

    private static final double MISS_MILLIS = 900;

    private static final double LOAD_REFRESH_MILLIS = 200;

    private static final int REQUESTS = 200_000;

    private final List<Target> targets = new ArrayList<>();

    private final int[] running = new int[TARGETS];

    private final int[] known = new int[TARGETS];

    private final List<Map<Integer, Boolean>> caches = new ArrayList<>();

    private final PriorityQueue<double[]> ends = new PriorityQueue<>((one, other) -> Double.compare(one[0], other[0]));

    private RoutingMeasurement() {
        for (int index = 0; index < TARGETS; index++) {
            FailureDomain domain = FailureDomain.of("d" + index % DOMAINS);
            TargetId id = TargetId.of(String.format("t%02d", index));
            Address address = Address.of("127.0.0.1", 1);
            targets.add(new Target(id, ServiceName.of("s"), domain, address, CAPACITY, CAPACITY, 1, false));
            caches.add(new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Integer, Boolean> eldest) {
                    return size() > CACHED_PREFIXES;
                }
            });
        }
    }

    public static void main(String[] arguments) {
        long seed = arguments.length > 0 ? Long.parseLong(arguments[0]) : 1;
        OUT.println("seed " + seed);
        OUT.println("routing requests_per_second hits_percent worst_load mean_load own_domain_percent");
        for (double perSecond : new double[] {150, 300, 450}) {
            measure(new Routing.PrefixAffinity(), perSecond, seed);
            measure(new Routing.LeastLoaded(), perSecond, seed);
            measure(new Routing.Random(), perSecond, seed);
            measure(new Routing.RoundRobin(), perSecond, seed);
        }
    }

    private static void measure(Routing routing, double perSecond, long seed) {
        new RoutingMeasurement().run(routing, perSecond, new SplittableRandom(seed));
    }

    private void run(Routing routing, double perSecond, SplittableRandom random) {
        double now = 0;
        double refreshed = 0;
        long hits = 0;
        long sameDomain = 0;
        double worst = 0;
        double sum = 0;
        for (int request = 0; request < REQUESTS; request++) {
            now += -Math.log(1 - random.nextDouble()) / perSecond * 1_000;
            while (!ends.isEmpty() && ends.peek()[0] <= now) {
                running[(int) ends.poll()[1]]--;
            }
            if (now - refreshed >= LOAD_REFRESH_MILLIS) {
                refreshed = now;
                System.arraycopy(running, 0, known, 0, TARGETS);
            }
            int prefix = (int) Math.pow(PREFIXES, random.nextDouble());
            FailureDomain domain = FailureDomain.of("d" + random.nextInt(DOMAINS));
            long draw = routing instanceof Routing.RoundRobin ? request : random.nextLong();
            int chosen = choose(routing, "p" + prefix, domain, draw);
            boolean hit = caches.get(chosen).put(prefix, true) != null;
            hits += hit ? 1 : 0;
            sameDomain += targets.get(chosen).domain().equals(domain) ? 1 : 0;
            running[chosen]++;
            known[chosen]++;
            ends.add(new double[] {now + (hit ? HIT_MILLIS : MISS_MILLIS) * (0.5 + random.nextDouble()), chosen});
            worst = Math.max(worst, (double) running[chosen] / CAPACITY);
            sum += meanLoad();
        }
        OUT.printf(
                "%s %.0f %.1f %.2f %.2f %.1f%n",
                routing.getClass().getSimpleName(),
                perSecond,
                100.0 * hits / REQUESTS,
                worst,
                sum / REQUESTS,
                100.0 * sameDomain / REQUESTS);
    }

    private int choose(Routing routing, String prefix, FailureDomain domain, long draw) {
        List<Candidate> candidates = new ArrayList<>();
        for (int index = 0; index < TARGETS; index++) {
            candidates.add(Candidate.of(targets.get(index), (double) known[index] / CAPACITY));
        }
        Target first =
                routing.order(prefix, domain, candidates, draw).getFirst().target();
        return targets.indexOf(first);
    }

    private double meanLoad() {
        int total = 0;
        for (int count : running) {
            total += count;
        }
        return (double) total / TARGETS / CAPACITY;
    }
}
