package org.tanagermoor.gateway.rollout;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.gateway.dispatch.DispatchServer;
import org.tanagermoor.gateway.member.Liveness;
import org.tanagermoor.policy.rollout.Rollout;

/** What roll-outs need of the dispatcher of this instance. */
public interface RolloutDispatch {

    /**
     * Replaces the running roll-outs, which the dispatcher looks up while it places requests.
     *
     * @param running The roll-outs by service.
     */
    void rollouts(Map<String, Rollout> running);

    /** Returns whether this instance dispatches now. */
    boolean dispatching(long now);

    /** Returns the name of the instance that dispatches now. */
    String dispatcher(long now);

    /**
     * Returns whether all uses of places are known here: each running instance has reported its places to this
     * dispatcher, and no other known instance has been heard in the last 6 s.
     */
    boolean allReported(long now);

    /**
     * Returns how the places of a service are used.
     *
     * @param service The name of the service.
     * @param version The version to which its traffic moves.
     * @param now The current monotonic time in nanoseconds.
     */
    Usage usage(String service, String version, long now);

    /**
     * How the places of a service are used.
     *
     * @param newPlaces The number of places at usable targets of the new version.
     * @param placesInUse The maximum number of places of the service that were in use at once in the last 5 s.
     * @param oldPlacesInUse The number of places in use at targets of other versions.
     */
    record Usage(int newPlaces, int placesInUse, int oldPlacesInUse) {}

    /** The dispatcher of this instance, with the instances as their heartbeats tell them. */
    final class ForServer implements RolloutDispatch {

        /**
         * The silence after which an instance is no longer waited for, in nanoseconds: it has then been dropped from
         * the directory, and a frozen one has lost its connections.
         */
        private static final long SILENT_NANOS = TimeUnit.SECONDS.toNanos(6);

        private final DispatchServer server;

        private final Liveness liveness;

        private ForServer(DispatchServer server, Liveness liveness) {
            this.server = server;
            this.liveness = liveness;
        }

        /** Returns the dispatcher of a server. */
        public static RolloutDispatch of(DispatchServer server, Liveness liveness) {
            return new ForServer(server, liveness);
        }

        /** {@inheritDoc} */
        @Override
        public void rollouts(Map<String, Rollout> running) {}

        /** {@inheritDoc} */
        @Override
        public boolean dispatching(long now) {
            return !liveness.stopping()
                    && liveness.dispatcher(now).id().equals(liveness.self().id());
        }

        /** {@inheritDoc} */
        @Override
        public String dispatcher(long now) {
            return liveness.dispatcher(now).id().name();
        }

        /** {@inheritDoc} */
        @Override
        public boolean allReported(long now) {
            return !liveness.silentWithin(SILENT_NANOS, now)
                    && liveness.running(now).stream()
                            .allMatch(instance -> server.dispatcher()
                                    .hasReported(instance.id().toString()));
        }

        /** {@inheritDoc} */
        @Override
        public Usage usage(String service, String version, long now) {
            return new Usage(0, 0, Integer.MAX_VALUE);
        }
    }
}
