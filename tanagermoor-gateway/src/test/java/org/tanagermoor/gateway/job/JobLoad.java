package org.tanagermoor.gateway.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.gateway.dispatch.Ask;
import org.tanagermoor.gateway.dispatch.DispatchSink;
import org.tanagermoor.gateway.dispatch.Dispatcher;
import org.tanagermoor.gateway.dispatch.OccupiedPlace;
import org.tanagermoor.gateway.dispatch.PlaceOutcome;
import org.tanagermoor.gateway.dispatch.PlacementDecision;
import org.tanagermoor.gateway.dispatch.TeamRates;
import org.tanagermoor.gateway.dispatch.Work;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.quarantine.IsolatedRuns;
import org.tanagermoor.policy.quarantine.IsolationStep;
import org.tanagermoor.policy.quarantine.Quarantine;
import org.tanagermoor.policy.quarantine.QuarantineEntry;

/**
 * Simulates jobs of long items beside bursts of online requests, with a real dispatcher and the order in which owners
 * ask for places, on a simulated clock. Sizes are those of a small fleet: items of about 5 s, online requests of about
 * 0.7 s.
 */
final class JobLoad {

    private static final String SERVICE = "assistant";

    /** The instance that holds all permits. */
    private static final String HOLDER = "x";

    /** Number of places of a target. */
    private static final int CAPACITY = 8;

    /** Time between two events of an item, in milliseconds. */
    private static final double EVENT_MILLIS = 22.6;

    /** Mean number of events until an item is completed. */
    private static final double MEAN_EVENTS = 221;

    /** Time from the start of a run to its first event, in milliseconds. */
    private static final long FIRST_EVENT_MILLIS = 30;

    /** Time from the submission of a job until it is due, in milliseconds. */
    private static final long DUE_MILLIS = 18_000;

    /** Mean number of items in a job. */
    private static final int MEAN_ITEMS = 10;

    /** Time between the starts of two bursts, in milliseconds. */
    private static final int BURST_PERIOD_MILLIS = 5_200;

    /** Part of the period without a burst, in milliseconds. */
    private static final int CALM_MILLIS = 3_000;

    /** Online requests per second between bursts. */
    private static final double CALM_PER_SECOND = 11;

    /** Online requests per second during a burst. */
    private static final double BURST_PER_SECOND = 54;

    /** Mean time for which an online request occupies its place, in milliseconds. */
    private static final int ONLINE_RUN_MILLIS = 700;

    /** Interval at which a waiting item asks again, in milliseconds. */
    private static final long ASK_INTERVAL_MILLIS = 1_000;

    /** Wait after which the answer to an online request is late, in nanoseconds. */
    private static final long ON_TIME_NANOS = TimeUnit.MILLISECONDS.toNanos(190);

    private final Random random;

    /** Number of places of all targets. */
    private final int places;

    private final double jobsPerSecond;

    /** Time between two replacements of the dispatcher, in milliseconds; 0 for none. */
    private final long dispatcherChangeMillis;

    private final List<TargetEntry> targets = new ArrayList<>();

    private Dispatcher dispatcher;

    private final ItemPace pace = ItemPace.of();

    /** Items that are not completed, by job and position. */
    private final Map<Integer, Map<Integer, Item>> jobs = new LinkedHashMap<>();

    private final List<Item> allItems = new ArrayList<>();

    /** Items that wait for a place or run, by permit. */
    private final Map<Long, Item> permits = new HashMap<>();

    /** End of each running online request in nanoseconds, by permit. */
    private final Map<Long, Long> online = new HashMap<>();

    /** Identity of the target of each granted permit. */
    private final Map<Long, String> targetByPermit = new HashMap<>();

    /** Asks of the waiting online requests, by permit. */
    private final Map<Long, Ask> onlineAsks = new LinkedHashMap<>();

    /** Time at which each waiting online request asked, in nanoseconds, by permit. */
    private final Map<Long, Long> onlineAskedAt = new HashMap<>();

    /** Current time of the simulation in nanoseconds. */
    private long now = TimeUnit.SECONDS.toNanos(1_000);

    /** Number of the last permit. */
    private long lastPermit;

    /** Total time for which online requests occupy places, in milliseconds. */
    private long onlineMillis;

    /** Number of online requests so far. */
    private int onlineRequests;

    /** Number of online requests that got a place on time. */
    private int servedOnTime;

    /** Time of the next submission of a job, in milliseconds from the start. */
    private long nextJobMillis;

    /** Duration of the simulation in milliseconds. */
    private long durationMillis;

    private JobLoad(long seed, int places, double jobsPerSecond, long dispatcherChangeMillis) {
        random = new Random(seed);
        this.places = places;
        this.jobsPerSecond = jobsPerSecond;
        this.dispatcherChangeMillis = dispatcherChangeMillis;
        for (int target = 0; target < places / CAPACITY; target++) {
            targets.add(new TargetEntry(
                    "target-" + target, SERVICE, Address.of("127.0.0.1", 1), "lisbon-a", CAPACITY, false, 0, 0));
        }
        dispatcher = dispatcher();
        dispatcher.targets(targets, service -> 0, now);
    }

    /** Returns a dispatcher that knows neither targets nor permits. */
    private Dispatcher dispatcher() {
        Dispatcher created = Dispatcher.of(new Decisions(), TeamRates.of(), Quarantine.of());
        return created;
    }

    /** Returns a simulation that has not run. */
    static JobLoad of(long seed, int places, double jobsPerSecond) {
        return new JobLoad(seed, places, jobsPerSecond, 0);
    }

    /** Returns a simulation that has not run, and that replaces the dispatcher at an interval in milliseconds. */
    static JobLoad withChanges(long seed, int places, double jobsPerSecond, long millis) {
        return new JobLoad(seed, places, jobsPerSecond, millis);
    }

    /** Runs the simulation for a time in milliseconds, and returns it. */
    JobLoad simulate(long millis) {
        durationMillis = millis;
        for (long elapsedMillis = 0; elapsedMillis < millis; elapsedMillis++) {
            now += TimeUnit.MILLISECONDS.toNanos(1);
            endOnline();
            endItems();
            endRecalledRuns();
            if (dispatcherChangeMillis > 0 && elapsedMillis % dispatcherChangeMillis == dispatcherChangeMillis - 1) {
                replaceDispatcher();
            }
            boolean burst = elapsedMillis % BURST_PERIOD_MILLIS >= CALM_MILLIS;
            if (random.nextDouble() * 1_000 < (burst ? BURST_PER_SECOND : CALM_PER_SECOND)) {
                askOnline();
            }
            if (jobsPerSecond > 0 && elapsedMillis >= nextJobMillis) {
                submit();
                nextJobMillis += (long) (1_000 / jobsPerSecond);
            }
            if (elapsedMillis % 25 == 0) {
                dispatcher.tick(now);
                jobs.values().forEach(this::askForPlaces);
            }
        }
        return this;
    }

    /** Returns the number of items whose jobs were due before the end. */
    int due() {
        return (int) allItems.stream().filter(item -> item.due < now).count();
    }

    /** Returns the number of all items. */
    int items() {
        return allItems.size();
    }

    /** Returns the number of items that completed in time, among those that were due before the end. */
    int inTime() {
        return (int) allItems.stream()
                .filter(item -> item.completedAt > 0 && item.completedAt <= item.due && item.due < now)
                .count();
    }

    /**
     * Returns the number of due items that fit into the places that online requests left until the last of these items
     * was due.
     */
    int itemsThatFit() {
        double remaining = (double) places * durationMillis - onlineMillis;
        double part = (double) (durationMillis - DUE_MILLIS / 2) / durationMillis;
        return Math.min(due(), (int) (remaining * part / (MEAN_EVENTS * EVENT_MILLIS)));
    }

    /** Returns the number of items that had started when they became late, and were not completed 5 s later. */
    int startedAndLate() {
        long grace = TimeUnit.SECONDS.toNanos(5);
        return (int) allItems.stream()
                .filter(item -> item.producedEarlier > 0 && item.due + grace < now)
                .filter(item -> item.completedAt == 0 || item.completedAt > item.due + grace)
                .count();
    }

    /** Returns how many of 1,000 online requests got a place on time. */
    int onlineOnTime() {
        return 1_000 * servedOnTime / onlineRequests;
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return "items " + allItems.size() + ", due " + due() + ", fit " + itemsThatFit() + ", in time " + inTime()
                + ", started and left behind " + startedAndLate() + ", online on time of 1,000 " + onlineOnTime();
    }

    /**
     * Replaces the dispatcher by one that learns of the places in use from their holder, and of waiting requests when
     * they ask again.
     */
    private void replaceDispatcher() {
        double remaining = dispatcher.headroom(SERVICE);
        dispatcher = dispatcher();
        dispatcher.targets(targets, service -> 0, now);
        dispatcher.takeOver(Map.of(SERVICE, remaining));
        List<OccupiedPlace> heldPlaces = new ArrayList<>();
        online.keySet()
                .forEach(permit -> heldPlaces.add(
                        new OccupiedPlace(permit, SERVICE, targetByPermit.get(permit), false, 0, Work.NONE)));
        permits.forEach((permit, item) -> {
            if (item.runStartedAt > 0) {
                heldPlaces.add(new OccupiedPlace(
                        permit,
                        SERVICE,
                        targetByPermit.get(permit),
                        true,
                        item.ask.onTimeNanos() - (item.runStartedAt - item.firstAskedAt),
                        pace.remaining(item.producedEarlier + producedNow(item))));
            }
        });
        dispatcher.resync(HOLDER, heldPlaces, now);
        List.copyOf(permits.values()).stream().filter(Item::asking).forEach(this::ask);
        List.copyOf(onlineAsks.values())
                .forEach(ask -> dispatcher.ask(ask, now).ifPresent(decision -> decided(ask, decision)));
    }

    private void submit() {
        int job = jobs.size();
        Map<Integer, Item> items = new LinkedHashMap<>();
        int count = Math.max(1, (int) (MEAN_ITEMS + random.nextGaussian() * MEAN_ITEMS * 0.4));
        for (int index = 0; index < count; index++) {
            int events = Math.max(20, (int) (MEAN_EVENTS * (1 + 0.25 * random.nextGaussian())));
            Item item = new Item(job, index, events, now + TimeUnit.MILLISECONDS.toNanos(DUE_MILLIS));
            items.put(index, item);
            allItems.add(item);
        }
        jobs.put(job, items);
        askForPlaces(items);
    }

    /** Asks for places for the next items of a job, and asks again for those that wait. */
    private void askForPlaces(Map<Integer, Item> items) {
        for (Item item : AskOrder.next(items.values())) {
            Work work = pace.remaining(item.producedEarlier);
            item.ask = ask(++lastPermit, item.due - now - work.nanos(), work, true);
            item.firstAskedAt = now;
            permits.put(lastPermit, item);
            ask(item);
        }
        for (Item item : List.copyOf(items.values())) {
            if (item.asking() && now - item.askedAt >= TimeUnit.MILLISECONDS.toNanos(ASK_INTERVAL_MILLIS)) {
                ask(item);
            }
        }
    }

    /** Asks for a place for an item, with the rest of its wait if it asks again. */
    private void ask(Item item) {
        item.askedAt = now;
        long waited = now - item.firstAskedAt;
        Ask ask = new Ask(
                HOLDER,
                item.ask.permit(),
                SERVICE,
                "",
                "lisbon-a",
                0,
                item.ask.waitNanos() - waited,
                item.ask.onTimeNanos() - waited,
                item.ask.work(),
                true,
                false,
                Set.of());
        dispatcher.ask(ask, now).ifPresent(decision -> decided(ask, decision));
    }

    private void askOnline() {
        onlineRequests++;
        Ask ask = ask(++lastPermit, ON_TIME_NANOS, Work.NONE, false);
        onlineAskedAt.put(lastPermit, now);
        onlineAsks.put(lastPermit, ask);
        dispatcher.ask(ask, now).ifPresent(decision -> decided(ask, decision));
    }

    private static Ask ask(long permit, long onTimeNanos, Work work, boolean batch) {
        long wait = TimeUnit.SECONDS.toNanos(batch ? 10 : 5);
        return new Ask(HOLDER, permit, SERVICE, "", "lisbon-a", 0, wait, onTimeNanos, work, batch, false, Set.of());
    }

    /** Handles a decision of the dispatcher. */
    private void decided(Ask ask, PlacementDecision decision) {
        boolean granted = decision instanceof PlacementDecision.Granted;
        if (decision instanceof PlacementDecision.Granted place) {
            targetByPermit.put(ask.permit(), place.target());
        }
        onlineAsks.remove(ask.permit());
        if (ask.batch()) {
            Item item = permits.get(ask.permit());
            if (granted) {
                item.runStartedAt = now;
            } else {
                permits.remove(ask.permit());
                item.ask = null;
            }
        } else if (granted) {
            int runMillis = ONLINE_RUN_MILLIS / 2 + random.nextInt(ONLINE_RUN_MILLIS);
            online.put(ask.permit(), now + TimeUnit.MILLISECONDS.toNanos(runMillis));
            onlineMillis += runMillis;
            servedOnTime += now - onlineAskedAt.remove(ask.permit()) <= ON_TIME_NANOS ? 1 : 0;
        }
    }

    /** Ends the online requests whose time is over. */
    private void endOnline() {
        for (Map.Entry<Long, Long> end : Map.copyOf(online).entrySet()) {
            if (end.getValue() <= now) {
                online.remove(end.getKey());
                dispatcher.release(HOLDER, end.getKey(), PlaceOutcome.SERVED, now);
            }
        }
    }

    /** Completes the items that have produced all events. */
    private void endItems() {
        for (Item item : List.copyOf(permits.values())) {
            if (item.runStartedAt > 0 && item.producedEarlier + producedNow(item) >= item.events) {
                long permit = item.ask.permit();
                pace.recordEnd(item.events);
                pace.recordRun(item.events - item.producedEarlier, now - item.runStartedAt);
                item.producedEarlier = item.events;
                item.completedAt = now;
                jobs.get(item.job).remove(item.index);
                end(item, PlaceOutcome.SERVED, permit);
            }
        }
    }

    /** Ends the runs whose places were recalled; the events that they have produced are kept. */
    private void endRecalledRuns() {
        for (Item item : List.copyOf(permits.values())) {
            if (item.recalled) {
                item.recalled = false;
                pace.recordRun(producedNow(item), now - item.runStartedAt);
                item.producedEarlier += producedNow(item);
                end(item, PlaceOutcome.UNUSED, item.ask.permit());
            }
        }
    }

    /** Returns the number of events that the current run of an item has produced. */
    private int producedNow(Item item) {
        long millis = TimeUnit.NANOSECONDS.toMillis(now - item.runStartedAt) - FIRST_EVENT_MILLIS;
        return (int) Math.max(0, millis / EVENT_MILLIS);
    }

    /** Ends the run of an item and returns its permit. */
    private void end(Item item, PlaceOutcome outcome, long permit) {
        item.runStartedAt = 0;
        item.recalled = false;
        item.ask = null;
        permits.remove(permit);
        dispatcher.release(HOLDER, permit, outcome, now);
        Collection<Map<Integer, Item>> others = List.copyOf(jobs.values());
        others.forEach(this::askForPlaces);
    }

    /** Receives the decisions that the dispatcher makes later, and its recalls. */
    private final class Decisions implements DispatchSink {

        /** {@inheritDoc} */
        @Override
        public void decided(Ask ask, PlacementDecision decision) {
            JobLoad.this.decided(ask, decision);
        }

        /** {@inheritDoc} */
        @Override
        public void recall(String holder, long permit) {
            Item item = permits.get(permit);
            if (item != null && item.runStartedAt > 0) {
                item.recalled = true;
            }
        }

        /** {@inheritDoc} */
        @Override
        public void quarantineChanged(QuarantineEntry entry) {
            throw new AssertionError("no part is held back in this simulation");
        }

        /** {@inheritDoc} */
        @Override
        public void isolationChanged(String service, IsolationStep step) {
            throw new AssertionError("no part is held back in this simulation");
        }

        /** {@inheritDoc} */
        @Override
        public void isolatedRunEnded(String service, String run, IsolatedRuns.Verdict verdict) {
            throw new AssertionError("no part is held back in this simulation");
        }
    }

    /** A simulated item of a job. */
    private static final class Item implements AskOrder.Candidate {

        private final int job;

        /** Position in the job. */
        private final int index;

        /** Number of events until the item is completed. */
        private final int events;

        /** Time at which its job is due, in nanoseconds. */
        private final long due;

        /** Number of events produced in earlier runs. */
        private int producedEarlier;

        /** Time of its completion in nanoseconds; 0 before that. */
        private long completedAt;

        /** Start of its current run in nanoseconds; 0 if it does not run. */
        private long runStartedAt;

        /** Time at which it first asked for its next place, in nanoseconds. */
        private long firstAskedAt;

        /** Time at which it last asked, in nanoseconds. */
        private long askedAt;

        /** Whether its place was recalled. */
        private boolean recalled;

        /** The current ask, or {@code null}. */
        private Ask ask;

        /** {@inheritDoc} */
        @Override
        public boolean heldBack() {
            return false;
        }

        Item(int job, int index, int events, long due) {
            this.job = job;
            this.index = index;
            this.events = events;
            this.due = due;
        }

        /** {@inheritDoc} */
        @Override
        public boolean idle() {
            return ask == null && completedAt == 0;
        }

        /** {@inheritDoc} */
        @Override
        public boolean asking() {
            return ask != null && runStartedAt == 0;
        }

        /** {@inheritDoc} */
        @Override
        public boolean started() {
            return producedEarlier > 0;
        }
    }
}
