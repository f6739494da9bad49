package org.tanagermoor.standin.target;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.LongSupplier;

/** An engine that batches continuously, and falls over when it gets more than it bears while it is cold. */
final class Engine {

    /** The requests that are kept for being resumed. */
    private static final int KEPT = 10_000;

    /** The options. */
    private final TargetOptions options;

    /** The record. */
    private final ExecutionLog log;

    /** Reads the monotonic time in nanoseconds. */
    private final LongSupplier time;

    /** Called when the engine fell over and all connections are to be reset. */
    private final Runnable fallen;

    /** Chooses the start marks. */
    private final Random random;

    /** The requests by identity, oldest first. */
    private final Map<String, Generation> generations = new LinkedHashMap<>();

    /** The requests that run. */
    private final List<Generation> running = new ArrayList<>();

    /** The requests that wait. */
    private final Deque<Generation> waiting = new ArrayDeque<>();

    /** The load over time. */
    private final LoadHistory history;

    /** The mark of the last start. */
    private String startMark;

    /** The monotonic time of the last start in nanoseconds. */
    private long startedAt;

    /**
     * Creates an engine that just started.
     *
     * @param options The options.
     * @param log The record.
     * @param time Reads the monotonic time in nanoseconds.
     * @param fallen Called when the engine fell over.
     */
    Engine(TargetOptions options, ExecutionLog log, LongSupplier time, Runnable fallen) {
        this.options = options;
        this.log = log;
        this.time = time;
        this.fallen = fallen;
        random = new Random(options.seed());
        startMark = nextMark();
        startedAt = time.getAsLong();
        history = new LoadHistory(options.loadLag());
        changed(startedAt);
    }

    /**
     * Returns the mark of the last start.
     *
     * @return The mark of the last start.
     */
    synchronized String startMark() {
        return startMark;
    }

    /**
     * Returns the load as it was before the lag.
     *
     * @return The load.
     */
    Load report() {
        return history.report(time.getAsLong());
    }

    /** Loses what runs, as another model is loaded. Connections stay. */
    synchronized void reload() {
        fall(time.getAsLong());
    }

    /**
     * Returns the present load.
     *
     * @return The load.
     */
    synchronized Load present() {
        return new Load(startMark, running.size(), waiting.size(), options.capacity());
    }

    /**
     * Takes a request.
     *
     * @param entry The entry in the record.
     * @param prompt The prompt.
     * @param tokens The number of tokens.
     * @param firstToken The time to the first token.
     * @return The request, or nothing if the engine is full or fell over.
     */
    Optional<Generation> admit(ExecutionLog.Entry entry, String prompt, int tokens, Duration firstToken) {
        return admit(new Generation(entry, prompt, tokens, firstToken, options.tokenInterval(), time, 0));
    }

    /**
     * Takes a request, which may go on with one that was cancelled.
     *
     * @param generation The request.
     * @return The request, or nothing if the engine is full or fell over.
     */
    Optional<Generation> admit(Generation generation) {
        Admission admission = admit(generation, time.getAsLong());
        if (admission == Admission.FELL) {
            fallen.run();
        }
        if (admission == Admission.STARTED) {
            schedule(generation);
        }
        return admission == Admission.STARTED || admission == Admission.WAITS
                ? Optional.of(generation)
                : Optional.empty();
    }

    /**
     * Returns a request.
     *
     * @param id The identity of the exchange.
     * @return The request, if it is known.
     */
    synchronized Optional<Generation> find(String id) {
        return Optional.ofNullable(generations.get(id));
    }

    /**
     * Cancels a request.
     *
     * @param id The identity of the exchange.
     * @return Whether the request was known.
     */
    boolean cancel(String id) {
        Optional<Generation> generation = find(id);
        generation.ifPresent(this::cancel);
        return generation.isPresent();
    }

    /** Turns cold without warning: what ran is lost, and all connections are reset. */
    void restart() {
        synchronized (this) {
            fall(time.getAsLong());
        }
        fallen.run();
    }

    /**
     * Takes a request.
     *
     * @param generation The request.
     * @param now The present monotonic time in nanoseconds.
     * @return What became of it.
     */
    private synchronized Admission admit(Generation generation, long now) {
        int load = running.size() + waiting.size() + 1;
        if (isCold(now)) {
            log.whileCold(load);
            if (load > bearable(now)) {
                log.fell();
                fall(now);
                return Admission.FELL;
            }
        }
        if (waiting.size() >= options.capacity()) {
            generation.entry().state(ExecutionLog.State.REFUSED);
            return Admission.FULL;
        }
        keep(generation);
        if (running.size() < options.capacity()) {
            running.add(generation);
            generation.start(now);
            changed(now);
            return Admission.STARTED;
        }
        generation.entry().state(ExecutionLog.State.WAITING);
        waiting.addLast(generation);
        changed(now);
        return Admission.WAITS;
    }

    /**
     * Keeps a request for being resumed.
     *
     * @param generation The request.
     */
    private void keep(Generation generation) {
        generations.put(generation.entry().id(), generation);
        if (generations.size() > KEPT) {
            generations.remove(generations.keySet().iterator().next());
        }
    }

    /**
     * Cancels a request.
     *
     * @param generation The request.
     */
    private void cancel(Generation generation) {
        List<Generation> next;
        synchronized (this) {
            if (!running.remove(generation) && !waiting.remove(generation)) {
                return;
            }
            generation.abort(ExecutionLog.State.CANCELLED);
            next = startWaiting();
        }
        next.forEach(this::schedule);
    }

    /**
     * Ends a request that was executed as a whole.
     *
     * @param generation The request.
     */
    private void finish(Generation generation) {
        List<Generation> next;
        synchronized (this) {
            if (!running.remove(generation)) {
                return;
            }
            generation.finish();
            next = startWaiting();
        }
        next.forEach(this::schedule);
    }

    /**
     * Starts requests that wait, as far as there is room.
     *
     * @return The requests that were started.
     */
    private List<Generation> startWaiting() {
        List<Generation> result = new ArrayList<>();
        while (!waiting.isEmpty() && running.size() < options.capacity()) {
            Generation next = waiting.removeFirst();
            running.add(next);
            next.start(time.getAsLong());
            result.add(next);
        }
        changed(time.getAsLong());
        return result;
    }

    /**
     * Ends a request when its time is up.
     *
     * @param generation The request.
     */
    private void schedule(Generation generation) {
        generation.ended().subscribe(ignored -> {}, error -> {}, () -> finish(generation));
    }

    /**
     * Falls over.
     *
     * @param now The present monotonic time in nanoseconds.
     */
    private void fall(long now) {
        List<Generation> lost = new ArrayList<>(running);
        lost.addAll(waiting);
        running.clear();
        waiting.clear();
        generations.clear();
        startMark = nextMark();
        startedAt = now;
        lost.forEach(generation -> generation.abort(ExecutionLog.State.LOST));
        changed(now);
    }

    /**
     * Notes the load after a change.
     *
     * @param now The present monotonic time in nanoseconds.
     */
    private void changed(long now) {
        history.record(now, new Load(startMark, running.size(), waiting.size(), options.capacity()));
    }

    /**
     * Returns whether the engine is cold.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return Whether it is cold.
     */
    private boolean isCold(long now) {
        return now - startedAt < options.warmUp().toNanos();
    }

    /**
     * Returns the requests that the engine bears while it is cold.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return The requests that it bears.
     */
    private int bearable(long now) {
        double warm = (now - startedAt) / (double) options.warmUp().toNanos();
        return options.coldCapacity() + (int) (warm * (options.capacity() - options.coldCapacity()));
    }

    /**
     * Returns a new start mark.
     *
     * @return A new start mark.
     */
    private String nextMark() {
        return Long.toHexString(random.nextLong());
    }

    /** What became of a request. */
    private enum Admission {

        /** It runs. */
        STARTED,

        /** It waits. */
        WAITS,

        /** The engine is full. */
        FULL,

        /** The engine fell over. */
        FELL
    }

    /**
     * The load of an engine.
     *
     * @param startMark The mark of the last start.
     * @param running The requests that run.
     * @param waiting The requests that wait.
     * @param capacity The requests that may run at once.
     */
    record Load(String startMark, int running, int waiting, int capacity) {}
}
