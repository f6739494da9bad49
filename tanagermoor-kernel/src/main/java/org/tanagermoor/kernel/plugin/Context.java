package org.tanagermoor.kernel.plugin;

import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.setting.Settings;
import org.tanagermoor.kernel.time.TimeSource;

/** The environment of a plug-in: settings, events, metrics, time and the services of other plug-ins. */
public final class Context {

    private final Settings settings;

    private final EventLog events;

    private final MetricRegistry metrics;

    private final TimeSource time;

    private final Map<Class<?>, Object> services = new ConcurrentHashMap<>();

    private Context(Settings settings, EventLog events, MetricRegistry metrics, TimeSource time) {
        this.settings = settings;
        this.events = events;
        this.metrics = metrics;
        this.time = time;
    }

    /**
     * Returns a context in which no service is registered yet.
     */
    public static Context of(Settings settings, EventLog events, MetricRegistry metrics, TimeSource time) {
        return new Context(settings, events, metrics, time);
    }

    /**
     * Returns the validated settings of the process.
     */
    public Settings settings() {
        return settings;
    }

    /**
     * Returns the log to which plug-ins record their events.
     */
    public EventLog events() {
        return events;
    }

    /**
     * Returns the registry in which plug-ins register their metrics.
     */
    public MetricRegistry metrics() {
        return metrics;
    }

    /**
     * Returns the clocks that plug-ins read; tests replace them.
     */
    public TimeSource time() {
        return time;
    }

    /**
     * Registers a service for plug-ins that are started later.
     *
     * @param <T> The type of the service.
     * @param type The type by which other plug-ins look it up.
     * @throws IllegalStateException If the type already has a service.
     */
    public <T> void register(Class<T> type, T service) {
        if (services.putIfAbsent(type, service) != null) {
            throw new IllegalStateException("A service is registered already: " + type.getName());
        }
    }

    /**
     * Returns a service that a plug-in has registered.
     *
     * @param <T> The type of the service.
     * @param type The type under which it was registered.
     * @throws IllegalStateException If no service of that type is registered.
     */
    public <T> T service(Class<T> type) {
        Object service = services.get(type);
        if (service == null) {
            throw new IllegalStateException("No service is registered: " + type.getName());
        }
        return type.cast(service);
    }
}
