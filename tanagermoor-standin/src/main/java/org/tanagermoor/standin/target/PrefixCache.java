package org.tanagermoor.standin.target;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** A cache of prompt prefixes in limited memory, whose events come late and with gaps. */
final class PrefixCache {

    /** The characters of a prompt that make its prefix. */
    private static final int PREFIX_CHARACTERS = 64;

    /** The prefixes that are cached at once. */
    private static final int CAPACITY = 256;

    /** The most events that are kept. */
    private static final int EVENTS = 4_096;

    /** Of this many events, one is lost. */
    private static final int LOST_OF = 10;

    /** The delay of the events in nanoseconds. */
    private static final long DELAY_NANOS = Duration.ofMillis(200).toNanos();

    /** Chooses the events that are lost. */
    private final Random random;

    /** The cached prefixes, least recently used first. */
    private final Map<String, Boolean> cached = new LinkedHashMap<>(16, 0.75f, true);

    /** The events that were not lost, oldest first. */
    private final List<Event> events = new ArrayList<>();

    /** The sequence number of the last event. */
    private long last;

    /**
     * Creates an empty cache.
     *
     * @param seed The seed that chooses the events that are lost.
     */
    PrefixCache(long seed) {
        random = new Random(seed);
    }

    /**
     * Uses the prefix of a prompt.
     *
     * @param prompt The prompt.
     * @param now The present monotonic time in nanoseconds.
     * @return Whether the prefix was cached.
     */
    synchronized boolean use(String prompt, long now) {
        String prefix = prompt.substring(0, Math.min(PREFIX_CHARACTERS, prompt.length()));
        if (cached.get(prefix) != null) {
            return true;
        }
        cached.put(prefix, true);
        publish(prefix, true, now);
        if (cached.size() > CAPACITY) {
            String evicted = cached.keySet().iterator().next();
            cached.remove(evicted);
            publish(evicted, false, now);
        }
        return false;
    }

    /**
     * Returns the events after a sequence number.
     *
     * @param after The sequence number.
     * @param now The present monotonic time in nanoseconds.
     * @return The events that are old enough to be seen.
     */
    synchronized List<Event> since(long after, long now) {
        return events.stream()
                .filter(event -> event.sequence() > after && now - event.time() >= DELAY_NANOS)
                .toList();
    }

    /** Forgets everything, as at a restart. */
    synchronized void clear() {
        cached.clear();
    }

    /**
     * Publishes an event, unless it is lost.
     *
     * @param prefix The prefix.
     * @param present Whether it is cached now.
     * @param now The present monotonic time in nanoseconds.
     */
    private void publish(String prefix, boolean present, long now) {
        last++;
        if (random.nextInt(LOST_OF) == 0) {
            return;
        }
        events.add(new Event(last, prefix, present, now));
        if (events.size() > EVENTS) {
            events.remove(0);
        }
    }

    /**
     * A prefix that was cached or evicted.
     *
     * @param sequence The sequence number.
     * @param prefix The prefix.
     * @param cached Whether it is cached now.
     * @param time The monotonic time in nanoseconds.
     */
    record Event(long sequence, String prefix, boolean cached, long time) {}
}
