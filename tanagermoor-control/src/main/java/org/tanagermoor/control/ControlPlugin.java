package org.tanagermoor.control;

import java.util.List;
import java.util.Set;
import org.tanagermoor.http.HttpEndpoints;
import org.tanagermoor.http.HttpPlugin;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.plugin.Plugin;
import org.tanagermoor.kernel.setting.Setting;
import org.tanagermoor.membership.Changes;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.membership.MembershipPlugin;

/** The plug-in that registers the HTTP endpoints with which operators read and change the configuration. */
public final class ControlPlugin implements Plugin {

    /** The name by which other plug-ins require this one. */
    public static final String NAME = "control";

    /** {@inheritDoc} */
    @Override
    public String name() {
        return NAME;
    }

    /** {@inheritDoc} */
    @Override
    public Set<String> requires() {
        return Set.of(HttpPlugin.NAME, MembershipPlugin.NAME);
    }

    /** {@inheritDoc} */
    @Override
    public List<Setting<?>> settings() {
        return List.of();
    }

    /** {@inheritDoc} */
    @Override
    public void start(Context context) {
        new OperatorEndpoints(context.service(Membership.class), context.service(Changes.class), context.events())
                .register(context.service(HttpEndpoints.class));
    }

    /** {@inheritDoc} */
    @Override
    public void stop() {
        // The endpoints stop with the HTTP server.
    }
}
