package org.tanagermoor.gateway.fleet;

/** Whether requests of a route may be repeated, and how they are answered. */
public enum RouteKind {

    /** Requests may run more than once with the same effect. */
    IDEMPOTENT,

    /** Requests run at most once for each attempt of a client. */
    AT_MOST_ONCE,

    /** Answers are streams of events; requests run at most once unless the route allows resumption. */
    STREAM,

    /** Requests submit jobs, whose items run in the background. */
    BATCH
}
