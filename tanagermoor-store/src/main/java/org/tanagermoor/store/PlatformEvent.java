package org.tanagermoor.store;

import java.lang.System.Logger.Level;
import org.tanagermoor.kernel.event.EventType;

/** Events about outages of the platform, its rate limits and calls whose outcome is unknown. */
public enum PlatformEvent implements EventType {

    /** Calls to the platform have started to fail, to time out or to return corrupt answers. */
    UNAVAILABLE(1201, Level.WARNING, "the platform became unavailable"),

    /** A call to the platform succeeded after others had failed. */
    AVAILABLE(1202, Level.INFO, "the platform is available again"),

    /** A commit got no usable answer and may have taken effect. */
    COMMIT_UNKNOWN(1203, Level.WARNING, "a commit may have taken effect"),

    /** A call timed out, so that the connections that are open by then are not used again. */
    CONNECTIONS_REPLACED(1204, Level.WARNING, "connections to the platform are replaced after a timeout"),

    /** The platform has started to reject calls because of its rate limits. */
    RATE_LIMITED(1205, Level.WARNING, "the platform limits the rate of calls"),

    /** The plug-in has registered its services. */
    STARTED(1206, Level.INFO, "the platform is set up");

    private final Entry entry;

    PlatformEvent(int number, Level level, String text) {
        entry = new Entry(number, level, text);
    }

    /** {@inheritDoc} */
    @Override
    public Entry entry() {
        return entry;
    }
}
