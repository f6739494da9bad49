package org.tanagermoor.policy.target;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.policy.fleet.TeamId;

/**
 * A bounded queue that serves teams in proportion to their weights (start-time fair queueing), and online requests
 * before batch requests. Not thread-safe.
 *
 * @param <W> The type of the queued elements.
 */
public final class FairQueue<W> {

    /** Online entries before batch entries, then by virtual start time, then by arrival. */
    private static final Comparator<Entry<?>> SERVICE_ORDER = Comparator.<Entry<?>, Boolean>comparing(Entry::batch)
            .thenComparingDouble(Entry::start)
            .thenComparingLong(Entry::sequence);

    /** The maximum number of entries. */
    private final int capacity;

    private final TreeSet<Entry<W>> entries = new TreeSet<>(SERVICE_ORDER);

    /** The virtual times of the online requests, by team. */
    private final VirtualTimes<TeamId> online = VirtualTimes.of();

    /** The virtual times of the batch requests, by team. */
    private final VirtualTimes<TeamId> batches = VirtualTimes.of();

    /** The sequence number of the last entry. */
    private long sequence;

    private FairQueue(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Creates an empty queue.
     *
     * @param <V> The type of the queued elements.
     * @param capacity The maximum number of entries.
     * @return An empty queue.
     */
    public static <V> FairQueue<V> of(int capacity) {
        return new FairQueue<>(capacity);
    }

    /**
     * Adds an entry. When the queue is full, the last entry is displaced: a batch entry before an online one, and
     * otherwise one of the team with the most entries in relation to its weight.
     *
     * @param team The team.
     * @param weight The weight of the team, above 0.
     * @param batch Whether the entry belongs to a batch job.
     * @param deadline The latest monotonic time in nanoseconds at which serving the entry is useful.
     * @param waiter The element to queue.
     * @return The displaced element, which may be the new one, or an empty list.
     */
    public List<W> offer(TeamId team, double weight, boolean batch, long deadline, W waiter) {
        double start = times(batch).add(team, 1 / weight);
        entries.add(new Entry<>(team, batch, start, 1 / weight, ++sequence, deadline, waiter));
        if (entries.size() <= capacity) {
            return List.of();
        }
        Entry<W> last = entries.last();
        remove(last);
        return List.of(last.waiter());
    }

    /**
     * Removes the first entry in the order of service that can be served.
     *
     * @param servable Whether an entry can be served.
     * @return The element, or {@code null} if none can be served.
     */
    @Nullable
    public W poll(Predicate<W> servable) {
        for (Entry<W> entry : entries) {
            if (servable.test(entry.waiter())) {
                entries.remove(entry);
                times(entry.batch()).served(entry.start());
                return entry.waiter();
            }
        }
        return null;
    }

    /**
     * Removes the entries that cannot be served before their deadline.
     *
     * @param now The current monotonic time in nanoseconds.
     * @param nanosPerEntry The estimated time between two served entries, in nanoseconds.
     * @return The removed elements.
     */
    public List<W> expire(long now, long nanosPerEntry) {
        List<W> expired = new ArrayList<>();
        long position = 0;
        for (Entry<W> entry : List.copyOf(entries)) {
            if (entry.deadline() - now < position * nanosPerEntry || entry.deadline() - now <= 0) {
                remove(entry);
                expired.add(entry.waiter());
            } else {
                position++;
            }
        }
        return expired;
    }

    /**
     * Removes the entries that match a predicate.
     *
     * @param obsolete Whether an entry no longer waits.
     */
    public void removeIf(Predicate<W> obsolete) {
        for (Iterator<Entry<W>> iterator = entries.iterator(); iterator.hasNext(); ) {
            if (obsolete.test(iterator.next().waiter())) {
                iterator.remove();
            }
        }
    }

    /**
     * Returns the queued elements.
     *
     * @return The elements, in the order of service.
     */
    public List<W> waiting() {
        return entries.stream().map(Entry::waiter).toList();
    }

    /** Returns how many entries wait. */
    public int size() {
        return entries.size();
    }

    /**
     * Removes an entry that is not served. If it was the last entry of its team, the team regains the virtual time of
     * the entry.
     *
     * @param entry The entry.
     */
    private void remove(Entry<W> entry) {
        entries.remove(entry);
        times(entry.batch()).withdrawn(entry.team(), entry.start(), entry.cost());
    }

    private VirtualTimes<TeamId> times(boolean batch) {
        return batch ? batches : online;
    }

    /**
     * A queued element with its position in virtual time.
     *
     * @param <V> The type of the queued element.
     * @param team The team.
     * @param batch Whether it is a batch request.
     * @param start The virtual start time.
     * @param cost The difference between its virtual finish and start times.
     * @param sequence The number in the order of arrival.
     * @param deadline The latest monotonic time in nanoseconds at which serving the entry is useful.
     * @param waiter The queued element.
     */
    private record Entry<V>(
            TeamId team, boolean batch, double start, double cost, long sequence, long deadline, V waiter) {}
}
