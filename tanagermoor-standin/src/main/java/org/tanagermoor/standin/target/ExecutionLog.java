package org.tanagermoor.standin.target;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** The record of all requests that a stand-in target was sent. Safe for use by several threads. */
public final class ExecutionLog {

    /** The entries in the order of their arrival. Guarded by itself. */
    private final List<Entry> entries = new ArrayList<>();

    /** The most requests that ran at once while the target was cold. Guarded by {@link #entries}. */
    private int mostWhileCold;

    /** The number of times that the target fell over. Guarded by {@link #entries}. */
    private int falls;

    /**
     * Adds a request that arrived.
     *
     * @param id The identity of the exchange; empty if it carried none.
     * @param method The method.
     * @param path The path.
     * @param headers The headers.
     * @param body The body.
     * @return The entry, whose state is {@link State#RECEIVED}.
     */
    Entry add(String id, String method, String path, Map<String, String> headers, String body) {
        Entry entry = new Entry(id, method, path, Map.copyOf(headers), body);
        synchronized (entries) {
            entries.add(entry);
            entries.notifyAll();
        }
        return entry;
    }

    /**
     * Waits until a number of requests have arrived.
     *
     * @param count The number of requests.
     * @throws InterruptedException If the wait is interrupted.
     */
    public void awaitEntries(int count) throws InterruptedException {
        synchronized (entries) {
            while (entries.size() < count) {
                entries.wait();
            }
        }
    }

    /**
     * Notes how many requests a cold target has.
     *
     * @param load The requests that run or wait.
     */
    void whileCold(int load) {
        synchronized (entries) {
            mostWhileCold = Math.max(mostWhileCold, load);
        }
    }

    /** Notes that the target fell over. */
    void fell() {
        synchronized (entries) {
            falls++;
        }
    }

    /**
     * Returns the entries in the order of their arrival.
     *
     * @return The entries.
     */
    public List<Entry> entries() {
        synchronized (entries) {
            return List.copyOf(entries);
        }
    }

    /**
     * Returns the number of requests of a path that were executed, in part or as a whole.
     *
     * @param path The path.
     * @return The number of executions.
     */
    public long executions(String path) {
        return entries().stream()
                .filter(entry -> entry.path().equals(path) && entry.executed())
                .count();
    }

    /**
     * Returns the most requests that ran or waited at once while the target was cold.
     *
     * @return The most requests.
     */
    public int mostWhileCold() {
        synchronized (entries) {
            return mostWhileCold;
        }
    }

    /**
     * Returns the number of times that the target fell over.
     *
     * @return The number of times.
     */
    public int falls() {
        synchronized (entries) {
            return falls;
        }
    }

    /** How far a request came. */
    public enum State {

        /** It arrived and was not executed. */
        RECEIVED,

        /** It was refused and not executed. */
        REFUSED,

        /** It waits for its execution. */
        WAITING,

        /** It runs. */
        RUNNING,

        /** It was executed as a whole. */
        FINISHED,

        /** It was cancelled after it had begun. */
        CANCELLED,

        /** It was lost when the target fell over, after it had begun. */
        LOST
    }

    /** A request that arrived. */
    public static final class Entry {

        /** The identity of the exchange. */
        private final String id;

        /** The method. */
        private final String method;

        /** The path. */
        private final String path;

        /** The headers. */
        private final Map<String, String> headers;

        /** The body. */
        private final String body;

        /** Completes with the last state. */
        private final CompletableFuture<State> ended = new CompletableFuture<>();

        /** The tokens that were executed for it. */
        private volatile int tokens;

        /** How far it came. */
        private volatile State state = State.RECEIVED;

        /**
         * Creates an entry.
         *
         * @param id The identity of the exchange.
         * @param method The method.
         * @param path The path.
         * @param headers The headers.
         * @param body The body.
         */
        private Entry(String id, String method, String path, Map<String, String> headers, String body) {
            this.id = id;
            this.method = method;
            this.path = path;
            this.headers = headers;
            this.body = body;
        }

        /**
         * Returns the identity of the exchange.
         *
         * @return The identity of the exchange.
         */
        public String id() {
            return id;
        }

        /**
         * Returns the method.
         *
         * @return The method.
         */
        public String method() {
            return method;
        }

        /**
         * Returns the path.
         *
         * @return The path.
         */
        public String path() {
            return path;
        }

        /**
         * Returns the headers.
         *
         * @return The headers.
         */
        public Map<String, String> headers() {
            return headers;
        }

        /**
         * Returns the body.
         *
         * @return The body.
         */
        public String body() {
            return body;
        }

        /**
         * Returns how far the request came.
         *
         * @return How far it came.
         */
        public State state() {
            return state;
        }

        /**
         * Returns whether the request was executed, in part or as a whole.
         *
         * @return Whether it was executed.
         */
        public boolean executed() {
            return switch (state) {
                case RECEIVED, REFUSED, WAITING -> false;
                case RUNNING, FINISHED, CANCELLED, LOST -> true;
            };
        }

        /**
         * Returns the tokens that were executed for the request, once it has ended.
         *
         * @return The number of tokens.
         */
        public int tokens() {
            return tokens;
        }

        /**
         * Notes the tokens that were executed for the request.
         *
         * @param value The number of tokens.
         */
        void tokens(int value) {
            tokens = value;
        }

        /**
         * Notes how far the request came.
         *
         * @param value How far it came.
         */
        void state(State value) {
            state = value;
            switch (value) {
                case FINISHED, CANCELLED, LOST, REFUSED -> ended.complete(value);
                case RECEIVED, WAITING, RUNNING -> {
                    // The request goes on.
                }
                default -> throw new IllegalArgumentException(value.name());
            }
        }

        /**
         * Completes with the state in which the request ended.
         *
         * @return Completes when the request has ended.
         */
        public CompletableFuture<State> ended() {
            return ended.copy();
        }
    }
}
