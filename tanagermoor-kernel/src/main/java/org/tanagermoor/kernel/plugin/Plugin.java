package org.tanagermoor.kernel.plugin;

import java.util.List;
import java.util.Set;
import org.tanagermoor.kernel.setting.Setting;

/**
 * A part of a process that the {@link Kernel} starts and stops. The implementations are found through
 * {@link java.util.ServiceLoader}.
 */
public interface Plugin {

    /**
     * Returns the name, which is unique among the plug-ins.
     */
    String name();

    /**
     * Returns the names of the plug-ins on which this one depends: they are started before it and stopped after it.
     */
    Set<String> requires();

    /** Returns the settings that this plug-in reads. */
    List<Setting<?>> settings();

    /**
     * Starts this plug-in, which looks up the services that it needs in the context, registers its own services and
     * starts its duties.
     *
     * @param context The settings and services of the process.
     */
    void start(Context context);

    /**
     * Announces a planned stop: this plug-in accepts no new work, but continues its current work. The kernel calls this
     * method of every plug-in before it calls {@link #stop()} of any.
     */
    default void drain() {
        // Most plug-ins have no work to finish.
    }

    /** Stops this plug-in. Called once, also when this plug-in or a later one fails to start. */
    void stop();
}
