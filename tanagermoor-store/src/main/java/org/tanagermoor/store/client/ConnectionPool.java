package org.tanagermoor.store.client;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.kernel.time.TimeSource;
import reactor.netty.resources.ConnectionProvider;

/**
 * The connections to the platform. A connection is closed before it has been idle or open for so long that a network
 * device between the two ends may have dropped its state. All connections are replaced after a call on one of them was
 * not answered in time.
 */
final class ConnectionPool implements AutoCloseable {

    private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(5);

    private static final Duration MAX_LIFETIME = Duration.ofSeconds(60);

    /** The minimum time between two replacements of all connections. */
    private static final Duration REPLACEMENT_INTERVAL = Duration.ofSeconds(1);

    /** The interval at which idle connections are checked for expiry. */
    private static final Duration EVICTION_INTERVAL = Duration.ofSeconds(1);

    private final TimeSource time;

    private final ConnectionProvider provider;

    /**
     * The monotonic time of the last replacement in nanoseconds, or {@code null} if there was none. Connections that
     * were opened before it are not used again.
     */
    @Nullable
    private volatile Long lastReplacedAt;

    /**
     * Creates a pool that opens connections on demand.
     *
     * @param connectionLimit The maximum number of connections, and also of calls that wait for one.
     */
    ConnectionPool(int connectionLimit, TimeSource time) {
        this.time = time;
        provider = ConnectionProvider.builder("platform")
                .maxConnections(connectionLimit)
                .pendingAcquireMaxCount(connectionLimit)
                .evictInBackground(EVICTION_INTERVAL)
                .evictionPredicate((connection, metadata) ->
                        expired(metadata.idleTime(), metadata.lifeTime(), this.time.nanos(), lastReplacedAt))
                .build();
    }

    ConnectionProvider provider() {
        return provider;
    }

    /**
     * Marks all connections that are open now as expired, unless the last replacement was less than
     * {@link #REPLACEMENT_INTERVAL} ago.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return Whether the connections are replaced.
     */
    boolean replaceAll(long now) {
        Long replacedAt = lastReplacedAt;
        if (replacedAt != null && now - replacedAt < REPLACEMENT_INTERVAL.toNanos()) {
            return false;
        }
        lastReplacedAt = now;
        return true;
    }

    /**
     * Returns whether an idle connection must be closed instead of used again.
     *
     * @param idleMillis The time since its last use, in milliseconds.
     * @param openMillis The time since it was opened, in milliseconds.
     * @param now The current monotonic time in nanoseconds.
     * @param replacedAt The monotonic time of the last replacement in nanoseconds, or {@code null} if there was none.
     */
    static boolean expired(long idleMillis, long openMillis, long now, @Nullable Long replacedAt) {
        boolean replaced = replacedAt != null && now - TimeUnit.MILLISECONDS.toNanos(openMillis) - replacedAt < 0;
        return replaced || idleMillis >= MAX_IDLE_TIME.toMillis() || openMillis >= MAX_LIFETIME.toMillis();
    }

    /** Closes all connections. */
    @Override
    public void close() {
        provider.dispose();
    }
}
