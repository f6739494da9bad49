package org.tanagermoor.gateway;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.plugin.Plugin;
import org.tanagermoor.kernel.setting.Setting;

/**
 * The plug-in that runs the event loop of the gateway. The loop has one thread, which makes all decisions, so no
 * decision needs a lock.
 */
public final class LoopPlugin implements Plugin {

    /** The name under which other plug-ins require this one. */
    public static final String NAME = "loop";

    /** {@code null} before the start. */
    @Nullable
    private EventLoopGroup group;

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
        return List.of();
    }

    /** {@inheritDoc} */
    @Override
    public void start(Context context) {
        EventLoopGroup started = new MultiThreadIoEventLoopGroup(
                1, new DefaultThreadFactory("gateway", true), NioIoHandler.newFactory());
        group = started;
        context.register(EventLoopGroup.class, started);
    }

    /** {@inheritDoc} */
    @Override
    public void stop() {
        if (group != null) {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }
}
