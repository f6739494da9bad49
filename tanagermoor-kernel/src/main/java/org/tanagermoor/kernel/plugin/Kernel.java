package org.tanagermoor.kernel.plugin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.ServiceLoader;
import java.util.Set;
import java.util.TreeMap;
import org.tanagermoor.kernel.event.KernelEvent;
import org.tanagermoor.kernel.setting.Setting;

/** Starts plug-ins in the order of their dependencies and stops them in reverse order. */
public final class Kernel {

    /** The plug-ins, each after those that it requires. */
    private final List<Plugin> plugins;

    /** The plug-ins that have been started, most recent first. */
    private final Deque<Plugin> started = new ArrayDeque<>();

    private Kernel(List<Plugin> plugins) {
        this.plugins = plugins;
    }

    /**
     * Returns a kernel with all plug-ins that {@link ServiceLoader} finds.
     *
     * @return A kernel that is not started.
     */
    public static Kernel load() {
        return of(registered());
    }

    /** Returns all plug-ins that {@link ServiceLoader} finds. */
    private static List<Plugin> registered() {
        return ServiceLoader.load(Plugin.class).stream()
                .map(ServiceLoader.Provider::get)
                .toList();
    }

    /**
     * Returns a kernel with the named plug-ins that {@link ServiceLoader} finds, and those that they require.
     *
     * @param names The names of the plug-ins.
     * @return A kernel that is not started.
     * @throws IllegalArgumentException If a named or required plug-in is missing, or if plug-ins require each other.
     */
    public static Kernel load(Set<String> names) {
        return of(registered(), names);
    }

    /**
     * Returns a kernel with the named ones among the given plug-ins, and those that they require.
     *
     * @param plugins The plug-ins, in any order.
     * @param names The names of the plug-ins to run.
     * @return A kernel that is not started.
     * @throws IllegalArgumentException If a named or required plug-in is missing, or if plug-ins require each other.
     */
    static Kernel of(List<Plugin> plugins, Set<String> names) {
        Map<String, Plugin> byName = new TreeMap<>();
        plugins.forEach(plugin -> byName.put(plugin.name(), plugin));
        Map<String, Plugin> ordered = new LinkedHashMap<>();
        for (String name : names) {
            Plugin plugin = byName.get(name);
            if (plugin == null) {
                throw new IllegalArgumentException("There is no plug-in " + name);
            }
            visit(plugin, byName, ordered, new ArrayList<>());
        }
        return new Kernel(List.copyOf(ordered.values()));
    }

    /**
     * Returns a kernel with the given plug-ins.
     *
     * @param plugins The plug-ins, in any order.
     * @return A kernel that is not started.
     * @throws IllegalArgumentException If two plug-ins have the same name, if a required plug-in is
     *     missing, or if plug-ins require each other.
     */
    public static Kernel of(List<Plugin> plugins) {
        Map<String, Plugin> byName = new TreeMap<>();
        for (Plugin plugin : plugins) {
            if (byName.put(plugin.name(), plugin) != null) {
                throw new IllegalArgumentException("Two plug-ins have the name " + plugin.name());
            }
        }
        Map<String, Plugin> ordered = new LinkedHashMap<>();
        for (Plugin plugin : byName.values()) {
            visit(plugin, byName, ordered, new ArrayList<>());
        }
        return new Kernel(List.copyOf(ordered.values()));
    }

    /**
     * Returns the plug-ins in the order in which they are started.
     */
    public List<Plugin> plugins() {
        return plugins;
    }

    /**
     * Returns the settings of all plug-ins. A setting that several plug-ins share is returned once, as declared by the
     * first of them.
     */
    public List<Setting<?>> settings() {
        Map<String, Setting<?>> byName = new LinkedHashMap<>();
        for (Plugin plugin : plugins) {
            plugin.settings().forEach(setting -> byName.putIfAbsent(setting.name(), setting));
        }
        return List.copyOf(byName.values());
    }

    /**
     * Starts all plug-ins. If one fails to start, it and those started before it are stopped.
     *
     * @param context The context that is passed to the plug-ins.
     */
    public void start(Context context) {
        for (Plugin plugin : plugins) {
            started.push(plugin);
            try {
                plugin.start(context);
            } catch (RuntimeException exception) {
                stop(context);
                throw exception;
            }
            context.events().record(KernelEvent.PLUGIN_STARTED, "plugin", plugin.name());
        }
        context.events().record(KernelEvent.READY);
    }

    /**
     * Drains all started plug-ins, then stops them in the reverse order of their start.
     *
     * @param context The context, whose log receives the events of the stop.
     */
    public void stop(Context context) {
        context.events().record(KernelEvent.STOPPING);
        started.forEach(plugin -> runRecordingFailure(context, plugin, plugin::drain));
        while (!started.isEmpty()) {
            Plugin plugin = started.pop();
            runRecordingFailure(context, plugin, plugin::stop);
            context.events().record(KernelEvent.PLUGIN_STOPPED, "plugin", plugin.name());
        }
        context.events().record(KernelEvent.STOPPED);
    }

    /** Runs a step of a stop and records an exception that it throws, so that the other plug-ins are still stopped. */
    @SuppressWarnings("CatchingUnchecked")
    private static void runRecordingFailure(Context context, Plugin plugin, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException exception) {
            context.events().record(KernelEvent.STOP_FAILED, "plugin", plugin.name(), "error", exception);
        }
    }

    /**
     * Adds a plug-in after those that it requires, in depth-first order.
     *
     * @param byName All plug-ins by name.
     * @param ordered Receives the plug-ins in the order of their dependencies.
     * @param path The names of the plug-ins that require this one, directly or indirectly, to detect cycles.
     */
    private static void visit(
            Plugin plugin, Map<String, Plugin> byName, Map<String, Plugin> ordered, List<String> path) {
        if (ordered.containsKey(plugin.name())) {
            return;
        }
        if (path.contains(plugin.name())) {
            throw new IllegalArgumentException("Plug-ins require each other: " + path);
        }
        List<String> next = new ArrayList<>(path);
        next.add(plugin.name());
        for (String name : Set.copyOf(plugin.requires())) {
            Plugin required = byName.get(name);
            if (required == null) {
                throw new IllegalArgumentException(plugin.name() + " requires the missing plug-in " + name);
            }
            visit(required, byName, ordered, next);
        }
        ordered.put(plugin.name(), plugin);
    }
}
