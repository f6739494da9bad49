package org.tanagermoor.gateway.rollout;

import java.util.Map;
import java.util.Set;
import org.tanagermoor.gateway.dispatch.DispatchServer;
import org.tanagermoor.gateway.member.Liveness;
import org.tanagermoor.policy.rollout.Rollout;
import org.tanagermoor.policy.rollout.RolloutView;

/** What roll-outs need of the dispatcher of this instance. */
public interface RolloutDispatch {

    /**
     * Replaces the roll-outs, which the dispatcher looks up while it places requests.
     *
     * @param rollouts The roll-outs by service, including ended ones whose rules still hold.
     * @param replaced The versions that completed roll-outs have replaced, by service.
     */
    void rollouts(Map<String, Rollout> rollouts, Map<String, Set<String>> replaced);

    /** Returns whether this instance dispatches now. */
    boolean dispatching(long now);

    /** Returns the name of the instance that dispatches now. */
    String dispatcher(long now);

    /**
     * Returns what the dispatcher sees of a service in a roll-out.
     *
     * @param service The name of the service.
     * @param stateFresh Whether the row of the state was read or written recently.
     * @param now The current monotonic time in nanoseconds.
     */
    RolloutView view(String service, boolean stateFresh, long now);

    /** The dispatcher of this instance, with the instances as their heartbeats tell them. */
    final class ForServer implements RolloutDispatch {

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
        public void rollouts(Map<String, Rollout> rollouts, Map<String, Set<String>> replaced) {
            server.dispatcher().rollouts(rollouts);
            server.dispatcher().replacedVersions(replaced);
        }

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
        public RolloutView view(String service, boolean stateFresh, long now) {
            return server.rolloutView(service, stateFresh, now);
        }
    }
}
