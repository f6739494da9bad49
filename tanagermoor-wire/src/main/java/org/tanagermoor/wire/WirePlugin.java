package org.tanagermoor.wire;

import com.codahale.metrics.Gauge;
import io.netty.channel.EventLoopGroup;
import java.security.SecureRandom;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.plugin.Plugin;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.setting.Setting;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.wire.link.PeerLink;
import org.tanagermoor.wire.link.TcpPeerLink;

/** The plug-in that gives this instance its identity and runs its link to other instances. */
public final class WirePlugin implements Plugin {

    /** The name by which other plug-ins require this one. */
    public static final String NAME = "wire";

    /** The address on which the link listens for other instances. */
    public static final Setting<Address> ADDRESS =
            Setting.ofAddress("peer-address", "the address for other instances, as ip:port", "127.0.0.1:8090");

    /** The name of this instance, unique among the instances. The setting is required. */
    public static final Setting<String> INSTANCE_NAME =
            Setting.ofText("instance-name", "the name of this instance, which no other instance has", null);

    /** The metric that counts the bytes that the link sent and received. */
    private static final String BYTES_METRIC = "wire.bytes";

    /** The link, or {@code null} before the start. */
    @Nullable
    private TcpPeerLink link;

    /** {@inheritDoc} */
    @Override
    public String name() {
        return NAME;
    }

    /** {@inheritDoc} */
    @Override
    public Set<String> requires() {
        return Set.of();
    }

    /** {@inheritDoc} */
    @Override
    public List<Setting<?>> settings() {
        return List.of(ADDRESS, INSTANCE_NAME);
    }

    /** {@inheritDoc} */
    @Override
    public void start(Context context) {
        InstanceId self = InstanceId.of(context.settings().value(INSTANCE_NAME), incarnation(new SecureRandom()));
        TcpPeerLink started = TcpPeerLink.of(self, context.settings().value(ADDRESS), context.events(), context.time());
        link = started;
        context.metrics().gauge(BYTES_METRIC, () -> (Gauge<Long>) started::bytes);
        context.register(InstanceId.class, self);
        context.register(PeerLink.class, started);
        context.register(EventLoopGroup.class, started.group());
    }

    /** {@inheritDoc} */
    @Override
    public void stop() {
        if (link != null) {
            link.close();
        }
    }

    /**
     * Returns a random incarnation, so that each run of the instance has a different one.
     *
     * @return A number other than {@link PeerLink#ANY_INCARNATION}.
     */
    private static long incarnation(SecureRandom random) {
        long value = random.nextLong();
        return value == PeerLink.ANY_INCARNATION ? 1 : value;
    }
}
