package org.tanagermoor.gateway.edge;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The requests of all callers that are being answered. Confined to the event loop, except that any thread may read
 * their number.
 */
final class CallTracker {

    /** The requests whose answers have not ended. */
    private final Set<Call> calls = new HashSet<>();

    /** The number of requests whose answers have not been written to their connections completely. */
    private final AtomicInteger unwritten = new AtomicInteger();

    private CallTracker() {}

    /** Returns an empty set of requests. */
    static CallTracker of() {
        return new CallTracker();
    }

    /** Counts a request that has arrived. */
    void arrived() {
        unwritten.incrementAndGet();
    }

    /** Adds a request that is not answered at once. */
    void add(Call call) {
        calls.add(call);
    }

    /** Removes a request whose answer has ended or is no longer wanted. */
    void remove(Call call) {
        calls.remove(call);
    }

    /** Counts a request whose answer was written completely, or whose connection has been closed. */
    void written() {
        unwritten.decrementAndGet();
    }

    /** Returns the number of requests whose answers are not written completely. Safe for use by any thread. */
    int count() {
        return unwritten.get();
    }

    /** Tells all requests that their answers must have ended by a monotonic time in nanoseconds. */
    void endBy(long nanos) {
        List<Call> running = new ArrayList<>(calls);
        running.forEach(call -> call.endBy(nanos));
    }
}
