package org.tanagermoor.gateway.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.tanagermoor.policy.prompt.Prompt;
import org.tanagermoor.policy.quarantine.IsolatedRuns;
import org.tanagermoor.policy.quarantine.IsolationStep;
import org.tanagermoor.policy.quarantine.Quarantine;
import org.tanagermoor.policy.quarantine.QuarantineEntry;

/**
 * A load of online requests and of items of jobs on a dispatcher, with a simulated clock, targets that fail in a given
 * way, and a part of prompts that may crash targets.
 */
final class CrashLoad implements DispatchSink {

    /** The part that a tenth of the online requests share. */
    static final String ONLINE_PART = "online-part";

    /** The part that a tenth of the items share. */
    static final String ITEM_PART = "item-part";

    /** The part that crashes targets. */
    static final String DEADLY_PART = "deadly";

    private static final int TARGETS = 40;

    private static final int PLACES = 12;

    private static final double ONLINE_PER_SECOND = 230;

    private static final double ITEMS_PER_SECOND = 22;

    private static final double RARE_PER_SECOND = 0.7;

    private static final double DEADLY_PER_SECOND = 1.4;

    /** The shortest and the longest time in milliseconds between requests with the deadly part that do not overlap. */
    private static final int DEADLY_MIN_MILLIS = 400;

    private static final int DEADLY_MAX_MILLIS = 1_000;

    /** The times in milliseconds of the fault of the targets, and of the first request with the deadly part. */
    private static final double FAULT_MILLIS = 10_000;

    private static final double FAULT_END_MILLIS = 30_000;

    private static final double DEADLY_MILLIS = 14_000;

    /** The time in milliseconds that a crashed target needs to come back. */
    private static final double RESTART_MILLIS = 3_000;

    /** The time in milliseconds after which a place is free whose report was lost, and how late a report may be. */
    private static final double LOST_MILLIS = 2_000;

    private static final int LATE_MILLIS = 400;

    private static final double RETRY_MILLIS = 200;

    private static final double SILENCE_MILLIS = 2_500;

    private final Random random;

    private final Fault fault;

    private final Set<Integer> faulty = new HashSet<>();

    private final double[] downUntil = new double[TARGETS];

    private final List<Set<Run>> running = new ArrayList<>();

    private final PriorityQueue<Step> steps = new PriorityQueue<>((one, other) ->
            one.at == other.at ? Long.compare(one.order, other.order) : Double.compare(one.at, other.at));

    private final Map<Long, Request> asked = new HashMap<>();

    private final Dispatcher dispatcher;

    private double millis;

    private long order;

    private long permits;

    private int requests;

    /** The times in milliseconds at which requests with the deadly part reached a target that was up. */
    private final List<Double> deadlyReached = new ArrayList<>();

    /** The number of crashes when the deadly part was first held back; -1 if it was not. */
    private int crashesWhenHeld = -1;

    /** The number of crashes before that whose reports were lost or late. */
    private int deadlyUnreported;

    /** The sound marks that were held back. */
    private final Set<String> soundHeld = new LinkedHashSet<>();

    private int crashes;

    private double fifthCrashMillis = Double.NaN;

    private int served;

    /** Creates a load with the given number of targets that have the fault. */
    CrashLoad(Fault fault, int faultyTargets, long seed) {
        this.fault = fault;
        random = new Random(seed);
        while (faulty.size() < faultyTargets) {
            faulty.add(random.nextInt(TARGETS));
        }
        dispatcher = Dispatcher.of(this, TeamRates.of(), Quarantine.of());
        IntStream.range(0, TARGETS).forEach(target -> running.add(new LinkedHashSet<>()));
        dispatcher.targets(
                IntStream.range(0, TARGETS)
                        .mapToObj(number -> DispatcherFixture.target("t-" + number, PLACES, 0))
                        .toList(),
                service -> 0,
                nanos());
    }

    /** Runs the load for a time in milliseconds. */
    CrashLoad run(double untilMillis, Deadly deadly) {
        arrivals(0, untilMillis, ONLINE_PER_SECOND, () -> online(random.nextInt(10) == 0 ? ONLINE_PART : kind()));
        arrivals(0, untilMillis, ITEMS_PER_SECOND, () -> item(random.nextInt(10) == 0 ? ITEM_PART : kind()));
        arrivals(0, untilMillis, RARE_PER_SECOND, () -> online("rare-part"));
        switch (deadly) {
            case NONE -> {}
            case AT_RANDOM -> arrivals(DEADLY_MILLIS, untilMillis, DEADLY_PER_SECOND, () -> online(DEADLY_PART));
            case ONE_AFTER_THE_OTHER -> {
                double next = DEADLY_MILLIS;
                while (next < untilMillis) {
                    at(next, () -> online(DEADLY_PART));
                    next += DEADLY_MIN_MILLIS + random.nextInt(DEADLY_MAX_MILLIS - DEADLY_MIN_MILLIS);
                }
            }
        }
        if (fault == Fault.GOES_DOWN_AND_UP) {
            faulty.forEach(target -> at(FAULT_MILLIS + random.nextInt(1_000), () -> flap(target)));
        }
        for (double tick = 0; tick < untilMillis; tick += 100) {
            at(tick, () -> dispatcher.tick(nanos()));
        }
        while (!steps.isEmpty() && steps.peek().at < untilMillis) {
            Step step = steps.poll();
            millis = step.at;
            step.action.run();
        }
        return this;
    }

    Set<String> soundHeld() {
        return soundHeld;
    }

    int crashesWhenHeld() {
        return crashesWhenHeld;
    }

    int deadlyUnreported() {
        return deadlyUnreported;
    }

    int served() {
        return served;
    }

    /** Returns the number of requests with the deadly part that reached targets over 3 s after the fifth crash. */
    long deadlyReachedLate() {
        return deadlyReached.stream()
                .filter(reached -> reached > fifthCrashMillis + 3_000)
                .count();
    }

    private String kind() {
        return "kind-" + random.nextInt(20);
    }

    private void arrivals(double from, double until, double perSecond, Runnable arrival) {
        double next = from - Math.log(1 - random.nextDouble()) / perSecond * 1_000;
        if (next < until) {
            at(next, () -> {
                arrival.run();
                arrivals(next, until, perSecond, arrival);
            });
        }
    }

    private void online(String part) {
        new Request(part, false).ask();
    }

    private void item(String part) {
        new Request(part, true).ask();
    }

    private void flap(int target) {
        if (millis < FAULT_END_MILLIS) {
            crash(target, 300 + random.nextInt(2_700));
            at(downUntil[target] + 500 + random.nextInt(3_500), () -> flap(target));
        }
    }

    /** Breaks off all that a target runs, and lets it refuse connections for a time in milliseconds. */
    private void crash(int target, double downMillis) {
        downUntil[target] = millis + downMillis;
        List.copyOf(running.get(target)).forEach(Run::breakOff);
    }

    private void at(double time, Runnable action) {
        steps.add(new Step(time, order++, action));
    }

    private long nanos() {
        return (long) (millis * 1e6) + TimeUnit.SECONDS.toNanos(1_000);
    }

    /** {@inheritDoc} */
    @Override
    public void decided(Ask ask, PlacementDecision decision) {
        Request request = asked.remove(ask.permit());
        if (request != null) {
            request.decided(ask.permit(), decision);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void recall(String holder, long permit) {
        // Items keep their places, as the load leaves enough of them free.
    }

    /** {@inheritDoc} */
    @Override
    public void quarantineChanged(QuarantineEntry entry) {
        if (entry.held() && entry.part().equals(DEADLY_PART)) {
            crashesWhenHeld = crashesWhenHeld < 0 ? crashes : crashesWhenHeld;
        } else if (entry.held()) {
            soundHeld.add(entry.part() + " at " + (long) millis + ": " + entry.evidence());
        }
    }

    /** {@inheritDoc} */
    @Override
    public void isolationChanged(String service, IsolationStep step) {
        // The load sees what is decided.
    }

    /** {@inheritDoc} */
    @Override
    public void isolatedRunEnded(String service, String run, IsolatedRuns.Verdict verdict) {
        // The load sees the runs themselves.
    }

    /** The ways in which targets fail that crash under no request. */
    enum Fault {
        NONE,
        LOSES_ANSWERS,
        RESETS_EVERYTHING,
        RESETS_AFTER_THE_HEAD,
        RESETS_SOME_AFTER_THE_HEAD,
        BREAKS_ANSWERS_OFF,
        CORRUPTS_ANSWERS,
        GOES_DOWN_AND_UP
    }

    /** How requests with the deadly part come. */
    enum Deadly {
        NONE,
        AT_RANDOM,
        ONE_AFTER_THE_OTHER
    }

    private record Step(double at, long order, Runnable action) {}

    /** A request of a caller, or an item of a job, which may run several times. */
    private final class Request {

        private final Prompt prompt;

        private final boolean batch;

        private final boolean deadly;

        private final Set<String> excluded = new HashSet<>();

        private int attempts;

        Request(String part, boolean batch) {
            String id = "r-" + requests++;
            this.batch = batch;
            deadly = part.equals(DEADLY_PART);
            Prompt parts = new Prompt(List.of(deadly ? "kind-1" : "first", part), id);
            prompt = batch ? parts : parts.withContent("request:" + id);
        }

        void ask() {
            long permit = ++permits;
            Ask ask = new Ask(
                            "h-" + permit % 8,
                            permit,
                            DispatcherFixture.SERVICE,
                            "",
                            "",
                            0,
                            TimeUnit.SECONDS.toNanos(5),
                            TimeUnit.MILLISECONDS.toNanos(300),
                            Work.NONE,
                            batch,
                            false,
                            Set.copyOf(excluded))
                    .withPrompt(prompt);
            asked.put(permit, this);
            Optional<PlacementDecision> decision = dispatcher.ask(ask, nanos());
            if (decision.isPresent()) {
                asked.remove(permit);
                decided(permit, decision.get());
            }
        }

        void decided(long permit, PlacementDecision decision) {
            switch (decision) {
                case PlacementDecision.Granted granted -> {
                    attempts++;
                    new Run(this, permit, Integer.parseInt(granted.target().substring(2))).start();
                }
                case PlacementDecision.Refused refused -> {
                    excluded.clear();
                    if (batch) {
                        at(millis + Math.max(RETRY_MILLIS, (double) refused.retryAfterMillis()), this::ask);
                    }
                }
            }
        }

        void ended(String target, PlaceOutcome outcome) {
            if (outcome == PlaceOutcome.SERVED) {
                served++;
            } else if (batch) {
                excluded.add(target);
                at(millis + (outcome == PlaceOutcome.UNREACHABLE ? 0 : RETRY_MILLIS), this::ask);
            } else if (outcome == PlaceOutcome.UNREACHABLE || attempts < 2) {
                attempts -= outcome == PlaceOutcome.UNREACHABLE ? 1 : 0;
                excluded.add(target);
                at(millis + 1, this::ask);
            }
        }
    }

    /** A run of a request at a target. */
    private final class Run {

        private final Request request;

        private final long permit;

        private final int target;

        private boolean ended;

        /** Whether the report of the end is lost. */
        private boolean lost;

        private double headMillis = Double.POSITIVE_INFINITY;

        private double eventMillis;

        Run(Request request, long permit, int target) {
            this.request = request;
            this.permit = permit;
            this.target = target;
        }

        void start() {
            if (millis < downUntil[target]) {
                at(millis + 1, () -> end(PlaceOutcome.UNREACHABLE));
                return;
            }
            running.get(target).add(this);
            if (request.deadly) {
                deadlyReached.add(millis);
            }
            if (faulty.contains(target) && millis >= FAULT_MILLIS && millis < FAULT_END_MILLIS && fails()) {
                return;
            }
            headMillis = millis + 20 + random.nextInt(60);
            eventMillis = headMillis + 20 + random.nextInt(60);
            if (request.deadly) {
                at(eventMillis - 5, () -> {
                    if (!ended) {
                        crashes++;
                        fifthCrashMillis = crashes == 5 ? millis : fifthCrashMillis;
                        crash(target, RESTART_MILLIS);
                    }
                });
                return;
            }
            double length = request.batch ? 1_000 + random.nextInt(3_000) : 200 + random.nextInt(1_300);
            at(eventMillis + length, () -> end(PlaceOutcome.SERVED));
        }

        /** Lets the run fail as the fault of its target has it; returns whether it does. */
        private boolean fails() {
            return switch (fault) {
                case NONE, GOES_DOWN_AND_UP -> false;
                case LOSES_ANSWERS -> {
                    at(millis + SILENCE_MILLIS, () -> end(PlaceOutcome.FAILED));
                    yield true;
                }
                case RESETS_EVERYTHING -> {
                    at(millis + random.nextInt(8), this::breakOff);
                    yield true;
                }
                case RESETS_AFTER_THE_HEAD -> resetAfterHead();
                case RESETS_SOME_AFTER_THE_HEAD -> random.nextBoolean() && resetAfterHead();
                case BREAKS_ANSWERS_OFF -> {
                    headMillis = millis + 20;
                    eventMillis = headMillis + 40;
                    at(headMillis + random.nextInt(200), this::breakOff);
                    yield true;
                }
                case CORRUPTS_ANSWERS -> {
                    headMillis = millis + 20;
                    eventMillis = headMillis + 100;
                    boolean closes = random.nextBoolean();
                    at(headMillis + random.nextInt(100), () -> {
                        if (closes) {
                            breakOff();
                        } else {
                            end(PlaceOutcome.FAILED);
                        }
                    });
                    yield true;
                }
            };
        }

        private boolean resetAfterHead() {
            headMillis = millis + 2;
            eventMillis = headMillis + 100;
            at(headMillis + random.nextInt(6), this::breakOff);
            return true;
        }

        /** Ends the connection. */
        void breakOff() {
            long events = millis < eventMillis ? 0 : 1 + (long) ((millis - eventMillis) / 30);
            end(PlaceOutcome.ofEarlyEnd(headMillis <= millis, events, true));
        }

        private void end(PlaceOutcome outcome) {
            if (ended) {
                return;
            }
            ended = true;
            running.get(target).remove(this);
            at(millis + reportMillis(), () -> {
                dispatcher.release("h-" + permit % 8, permit, lost ? PlaceOutcome.UNUSED : outcome, nanos());
                dispatcher.release("h-" + permit % 8, permit, outcome, nanos());
            });
            at(millis + 1, () -> request.ended("t-" + target, outcome));
        }

        /** Returns the time until the end of the run is reported; a lost report shows in the next one of all places. */
        private double reportMillis() {
            int chance = random.nextInt(100);
            if (chance < 3 && request.deadly && crashesWhenHeld < 0) {
                deadlyUnreported++;
            }
            if (chance == 0) {
                lost = true;
                return LOST_MILLIS;
            }
            return chance < 3 ? random.nextInt(LATE_MILLIS) : random.nextInt(20);
        }
    }
}
