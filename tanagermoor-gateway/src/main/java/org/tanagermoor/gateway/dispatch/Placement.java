package org.tanagermoor.gateway.dispatch;

import java.util.function.Consumer;

/** An ask of this instance, and the place granted to it. Not thread-safe. */
final class Placement {

    final Ask ask;

    /** Receives the decision. */
    final Consumer<PlacementDecision> answer;

    /** The monotonic time of the ask in nanoseconds. */
    final long askedAt;

    /** The monotonic time of the grant in nanoseconds, if there is a target. */
    long grantedAt;

    /** The identity of the target; empty while there is none. */
    String target = "";

    /** Whether the dispatcher on this instance decides. */
    boolean local;

    /** Creates an ask without a place. */
    Placement(Ask ask, Consumer<PlacementDecision> answer, long askedAt) {
        this.ask = ask;
        this.answer = answer;
        this.askedAt = askedAt;
    }

    /** Returns the ask with its times reduced by the time that it has waited. */
    Ask currentAsk(long now) {
        return ask.after(now - askedAt);
    }

    /** Returns the place in use, for a report to the dispatcher. */
    OccupiedPlace place(long now) {
        return new OccupiedPlace(
                        ask.permit(),
                        ask.service(),
                        target,
                        ask.batch(),
                        ask.onTimeNanos() - (grantedAt - askedAt),
                        ask.work().after(now - grantedAt))
                .withRun(ask.prompt(), now - grantedAt)
                .withRoute(ask.traits().route());
    }
}
