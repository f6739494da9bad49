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
import org.tanagermoor.gateway.dispatch.Dispatcher;
import org.tanagermoor.gateway.dispatch.PlaceOutcome;
import org.tanagermoor.gateway.dispatch.PlacementDecision;
import org.tanagermoor.gateway.dispatch.TeamRates;
import org.tanagermoor.gateway.dispatch.Work;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.kernel.setting.Address;

/**
 * Jobs of long items beside bursts of online requests, with a dispatcher and the order in which owners ask, on a clock
 * of its own. Sizes are those of a small fleet: items of about 5 s, online requests of about 0.7 s.
 */
final class JobLoad {

    /** The service. */
    private static final String SERVICE = "assistant";

    /** The holder of all permits. */
    private static final String HOLDER = "x";

    /** The places of a target. */
    private static final int CAPACITY = 8;

    /** The time between two events of an item, in milliseconds. */
    private static final double EVENT_MILLIS = 22.6;

    /** The mean number of events of an item. */
    private static final double EVENTS_MEAN = 221;

    /** The time that a run takes before its first event, in milliseconds. */
    private static final long FIRST_EVENT_MILLIS = 30;

    /** The time in which a job is due, in milliseconds. */
    private static final long DUE_MILLIS = 18_000;

    /** The mean number of items of a job. */
    private static final int ITEMS_MEAN = 10;

    /** The period of the bursts, in milliseconds. */
    private static final int PERIOD_MILLIS = 5_200;

    /** The calm part of the period, in milliseconds. */
    private static final int CALM_MILLIS = 3_000;

    /** The online requests a second between bursts. */
    private static final double CALM_PER_SECOND = 11;

    /** The online requests a second in a burst. */
    private static final double BURST_PER_SECOND = 54;

    /** The mean time for which an online request holds its place, in milliseconds. */
    private static final int HOLD_MILLIS = 700;

    /** The interval at which an item that waits is asked for again, in milliseconds. */
    private static final long AGAIN_MILLIS = 1_000;

    /** The wait after which the answer to an online request is late, in nanoseconds. */
    private static final long ON_TIME_NANOS = TimeUnit.MILLISECONDS.toNanos(190);

    /** The chance. */
    private final Random random;

    /** The places. */
    private final int places;

    /** The jobs a second. */
    private final double jobsPerSecond;

    /** The time between two changes of the dispatcher in milliseconds; 0 for none. */
    private final long changeMillis;

    /** The targets. */
    private final List<TargetEntry> targets = new ArrayList<>();

    /** The dispatcher. */
    private Dispatcher dispatcher;

    /** How long items run. */
    private final ItemPace pace = ItemPace.of();

    /** The items that are not done, by job. */
    private final Map<Integer, Map<Integer, Item>> jobs = new LinkedHashMap<>();

    /** All items. */
    private final List<Item> all = new ArrayList<>();

    /** The items that ask or run, by permit. */
    private final Map<Long, Item> permits = new HashMap<>();

    /** The end of each online request that runs, in nanoseconds. */
    private final Map<Long, Long> online = new HashMap<>();

    /** The target of each permit. */
    private final Map<Long, String> heldAt = new HashMap<>();

    /** The asks of online requests that wait. */
    private final Map<Long, Ask> onlineAsks = new LinkedHashMap<>();

    /** The time at which each online request asked, in nanoseconds. */
    private final Map<Long, Long> onlineSince = new HashMap<>();

    /** The present time in nanoseconds. */
    private long now = TimeUnit.SECONDS.toNanos(1_000);

    /** The last permit. */
    private long lastPermit;

    /** The time for which online requests held places, in milliseconds. */
    private long onlineMillis;

    /** The online requests. */
    private int asked;

    /** The online requests that got a place on time. */
    private int servedOnTime;

    /** The time of the next job in milliseconds. */
    private long nextJob;

    /** The duration of the load in milliseconds. */
    private long duration;

    /** Creates a load. */
    private JobLoad(long seed, int places, double jobsPerSecond, long changeMillis) {
        random = new Random(seed);
        this.places = places;
        this.jobsPerSecond = jobsPerSecond;
        this.changeMillis = changeMillis;
        for (int target = 0; target < places / CAPACITY; target++) {
            targets.add(new TargetEntry(
                    "target-" + target, SERVICE, Address.of("127.0.0.1", 1), "lisbon-a", CAPACITY, false, 0, 0));
        }
        dispatcher = dispatcher();
        dispatcher.targets(targets, service -> 0, now);
    }

    /** Returns a dispatcher that knows the targets only. */
    private Dispatcher dispatcher() {
        Dispatcher created = Dispatcher.of(new Verdicts(), TeamRates.of());
        return created;
    }

    /** Returns a load that was not played. */
    static JobLoad of(long seed, int places, double jobsPerSecond) {
        return new JobLoad(seed, places, jobsPerSecond, 0);
    }

    /** Returns a load that was not played, with another dispatcher after each time in milliseconds. */
    static JobLoad withChanges(long seed, int places, double jobsPerSecond, long millis) {
        return new JobLoad(seed, places, jobsPerSecond, millis);
    }

    /** Plays the load for a time in milliseconds, and returns it. */
    JobLoad play(long millis) {
        duration = millis;
        for (long at = 0; at < millis; at++) {
            now += TimeUnit.MILLISECONDS.toNanos(1);
            endOnline();
            endItems();
            yieldRecalled();
            if (changeMillis > 0 && at % changeMillis == changeMillis - 1) {
                change();
            }
            boolean burst = at % PERIOD_MILLIS >= CALM_MILLIS;
            if (random.nextDouble() * 1_000 < (burst ? BURST_PER_SECOND : CALM_PER_SECOND)) {
                askOnline();
            }
            if (jobsPerSecond > 0 && at >= nextJob) {
                submit();
                nextJob += (long) (1_000 / jobsPerSecond);
            }
            if (at % 25 == 0) {
                dispatcher.tick(now);
                jobs.values().forEach(this::proceed);
            }
        }
        return this;
    }

    /** Returns the items whose jobs were due before the end. */
    int due() {
        return (int) all.stream().filter(item -> item.due < now).count();
    }

    /** Returns all items. */
    int items() {
        return all.size();
    }

    /** Returns the items that ended in time. */
    int inTime() {
        return (int) all.stream()
                .filter(item -> item.doneAt > 0 && item.doneAt <= item.due && item.due < now)
                .count();
    }

    /** Returns the items that fit into the places that online requests left until the last of them was due. */
    int fits() {
        double left = (double) places * duration - onlineMillis;
        double part = (double) (duration - DUE_MILLIS / 2) / duration;
        return Math.min(due(), (int) (left * part / (EVENTS_MEAN * EVENT_MILLIS)));
    }

    /** Returns the items that had begun when they were late, and are not done 5 s later. */
    int begunAndLate() {
        long grace = TimeUnit.SECONDS.toNanos(5);
        return (int) all.stream()
                .filter(item -> item.done > 0 && item.due + grace < now)
                .filter(item -> item.doneAt == 0 || item.doneAt > item.due + grace)
                .count();
    }

    /** Returns the online requests of a thousand that got a place on time. */
    int onlineOnTime() {
        return 1_000 * servedOnTime / asked;
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return "items " + all.size() + ", due " + due() + ", fit " + fits() + ", in time " + inTime()
                + ", begun and left behind " + begunAndLate() + ", online on time of 1,000 " + onlineOnTime();
    }

    /** Replaces the dispatcher by one that hears of the places in use, and of what waits when it is asked for again. */
    private void change() {
        double left = dispatcher.headroom(SERVICE);
        dispatcher = dispatcher();
        dispatcher.targets(targets, service -> 0, now);
        dispatcher.takeOver(Map.of(SERVICE, left));
        List<Dispatcher.OccupiedPlace> held = new ArrayList<>();
        online.keySet()
                .forEach(permit -> held.add(
                        new Dispatcher.OccupiedPlace(permit, SERVICE, heldAt.get(permit), false, 0, Work.NONE)));
        permits.forEach((permit, item) -> {
            if (item.runsSince > 0) {
                held.add(new Dispatcher.OccupiedPlace(
                        permit,
                        SERVICE,
                        heldAt.get(permit),
                        true,
                        item.ask.onTimeNanos() - (item.runsSince - item.firstAskedAt),
                        pace.left(item.done + produced(item))));
            }
        });
        dispatcher.resync(HOLDER, held, now);
        List.copyOf(permits.values()).stream().filter(Item::asking).forEach(this::ask);
        List.copyOf(onlineAsks.values())
                .forEach(ask -> dispatcher.ask(ask, now).ifPresent(verdict -> decided(ask, verdict)));
    }

    /** Submits a job. */
    private void submit() {
        int job = jobs.size();
        Map<Integer, Item> items = new LinkedHashMap<>();
        int count = Math.max(1, (int) (ITEMS_MEAN + random.nextGaussian() * ITEMS_MEAN * 0.4));
        for (int index = 0; index < count; index++) {
            int events = Math.max(20, (int) (EVENTS_MEAN * (1 + 0.25 * random.nextGaussian())));
            Item item = new Item(job, index, events, now + TimeUnit.MILLISECONDS.toNanos(DUE_MILLIS));
            items.put(index, item);
            all.add(item);
        }
        jobs.put(job, items);
        proceed(items);
    }

    /** Asks for places for items of a job, and asks again for those that wait. */
    private void proceed(Map<Integer, Item> items) {
        for (Item item : AskOrder.next(items.values())) {
            Work work = pace.left(item.done);
            item.ask = ask(++lastPermit, item.due - now - work.nanos(), work, true);
            item.firstAskedAt = now;
            permits.put(lastPermit, item);
            ask(item);
        }
        for (Item item : List.copyOf(items.values())) {
            if (item.asking() && now - item.askedAt >= TimeUnit.MILLISECONDS.toNanos(AGAIN_MILLIS)) {
                ask(item);
            }
        }
    }

    /** Asks for a place for an item. */
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
        dispatcher.ask(ask, now).ifPresent(verdict -> decided(ask, verdict));
    }

    /** Asks for a place for an online request. */
    private void askOnline() {
        asked++;
        Ask ask = ask(++lastPermit, ON_TIME_NANOS, Work.NONE, false);
        onlineSince.put(lastPermit, now);
        onlineAsks.put(lastPermit, ask);
        dispatcher.ask(ask, now).ifPresent(verdict -> decided(ask, verdict));
    }

    /** Returns an ask. */
    private static Ask ask(long permit, long onTimeNanos, Work work, boolean batch) {
        long wait = TimeUnit.SECONDS.toNanos(batch ? 10 : 5);
        return new Ask(HOLDER, permit, SERVICE, "", "lisbon-a", 0, wait, onTimeNanos, work, batch, false, Set.of());
    }

    /** Takes a verdict. */
    private void decided(Ask ask, PlacementDecision verdict) {
        boolean granted = verdict instanceof PlacementDecision.Granted;
        if (verdict instanceof PlacementDecision.Granted place) {
            heldAt.put(ask.permit(), place.target());
        }
        onlineAsks.remove(ask.permit());
        if (ask.batch()) {
            Item item = permits.get(ask.permit());
            if (granted) {
                item.runsSince = now;
            } else {
                permits.remove(ask.permit());
                item.ask = null;
            }
        } else if (granted) {
            int hold = HOLD_MILLIS / 2 + random.nextInt(HOLD_MILLIS);
            online.put(ask.permit(), now + TimeUnit.MILLISECONDS.toNanos(hold));
            onlineMillis += hold;
            servedOnTime += now - onlineSince.remove(ask.permit()) <= ON_TIME_NANOS ? 1 : 0;
        }
    }

    /** Ends online requests. */
    private void endOnline() {
        for (Map.Entry<Long, Long> end : Map.copyOf(online).entrySet()) {
            if (end.getValue() <= now) {
                online.remove(end.getKey());
                dispatcher.release(HOLDER, end.getKey(), PlaceOutcome.SERVED, now);
            }
        }
    }

    /** Ends items that have produced all events. */
    private void endItems() {
        for (Item item : List.copyOf(permits.values())) {
            if (item.runsSince > 0 && item.done + produced(item) >= item.events) {
                long permit = item.ask.permit();
                pace.ended(item.events);
                pace.ran(item.events - item.done, now - item.runsSince);
                item.done = item.events;
                item.doneAt = now;
                jobs.get(item.job).remove(item.index);
                end(item, PlaceOutcome.SERVED, permit);
            }
        }
    }

    /** Ends the runs whose places were asked back; what they have produced is kept. */
    private void yieldRecalled() {
        for (Item item : List.copyOf(permits.values())) {
            if (item.recalled) {
                item.recalled = false;
                pace.ran(produced(item), now - item.runsSince);
                item.done += produced(item);
                end(item, PlaceOutcome.UNUSED, item.ask.permit());
            }
        }
    }

    /** Returns the events of the present run of an item. */
    private int produced(Item item) {
        long millis = TimeUnit.NANOSECONDS.toMillis(now - item.runsSince) - FIRST_EVENT_MILLIS;
        return (int) Math.max(0, millis / EVENT_MILLIS);
    }

    /** Ends a run. */
    private void end(Item item, PlaceOutcome outcome, long permit) {
        item.runsSince = 0;
        item.recalled = false;
        item.ask = null;
        permits.remove(permit);
        dispatcher.release(HOLDER, permit, outcome, now);
        Collection<Map<Integer, Item>> others = List.copyOf(jobs.values());
        others.forEach(this::proceed);
    }

    /** Takes what the dispatcher decides later. */
    private final class Verdicts implements Dispatcher.Sink {

        /** {@inheritDoc} */
        @Override
        public void decided(Ask ask, PlacementDecision verdict) {
            JobLoad.this.decided(ask, verdict);
        }

        /** {@inheritDoc} */
        @Override
        public void recall(String holder, long permit) {
            Item item = permits.get(permit);
            if (item != null && item.runsSince > 0) {
                item.recalled = true;
            }
        }
    }

    /** An item. */
    private static final class Item implements AskOrder.Candidate {

        /** The job. */
        private final int job;

        /** The position in the job. */
        private final int index;

        /** The number of its events. */
        private final int events;

        /** The time at which its job is due, in nanoseconds. */
        private final long due;

        /** The events that it has produced in earlier runs. */
        private int done;

        /** The time of its result in nanoseconds; 0 without one. */
        private long doneAt;

        /** The begin of its run in nanoseconds; 0 if it does not run. */
        private long runsSince;

        /** The time at which it began to ask, in nanoseconds. */
        private long firstAskedAt;

        /** The time at which it last asked, in nanoseconds. */
        private long askedAt;

        /** Whether its place was asked back. */
        private boolean recalled;

        /** The present ask, or {@code null}. */
        private Ask ask;

        /** Creates an item. */
        Item(int job, int index, int events, long due) {
            this.job = job;
            this.index = index;
            this.events = events;
            this.due = due;
        }

        /** {@inheritDoc} */
        @Override
        public boolean idle() {
            return ask == null && doneAt == 0;
        }

        /** {@inheritDoc} */
        @Override
        public boolean asking() {
            return ask != null && runsSince == 0;
        }

        /** {@inheritDoc} */
        @Override
        public boolean begun() {
            return done > 0;
        }
    }
}
