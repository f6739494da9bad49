package org.tanagermoor.store.listing;

import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.store.client.Call;
import org.tanagermoor.store.client.Messages;
import org.tanagermoor.store.client.PlatformClient;
import reactor.core.publisher.Mono;

/** The platform's list of live and leaving instances. It may be out of date, so callers must treat it as a hint. */
public interface InstanceList {

    /**
     * Reads the list once, when the result is subscribed to.
     *
     * @return The instances in the list, or a failure.
     */
    Mono<Either<Failure, List<Entry>>> read();

    /**
     * An instance that the platform runs.
     *
     * @param name The unique name of the instance.
     * @param peerAddress The address at which other instances reach it.
     * @param leaving Whether the platform is about to stop it.
     */
    record Entry(String name, Address peerAddress, boolean leaving) {}

    /** A list in memory, in which each change becomes visible after a fixed delay, as on the platform. Thread-safe. */
    final class InMemory implements InstanceList {

        /** The delay in nanoseconds after which a change becomes visible. */
        private final long lag;

        private final TimeSource time;

        /** The entries by name with all changes, also those not yet visible. Guarded by this object. */
        private final NavigableMap<String, Entry> entries = new TreeMap<>();

        /** The visible state and the ones that become visible later, oldest first. Guarded by this object. */
        private final Deque<State> states = new ArrayDeque<>();

        private InMemory(Duration lag, TimeSource time) {
            this.lag = lag.toNanos();
            this.time = time;
            states.add(new State(time.nanos() - this.lag, List.of()));
        }

        /**
         * Creates an empty list.
         *
         * @param lag The delay after which a change becomes visible.
         * @param time The source of the monotonic time.
         */
        public static InMemory of(Duration lag, TimeSource time) {
            return new InMemory(lag, time);
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, List<Entry>>> read() {
            return Mono.fromSupplier(() -> Either.right(visibleAt(time.nanos())));
        }

        /** Adds an instance, or replaces the one with the same name. */
        public synchronized void put(Entry entry) {
            entries.put(entry.name(), entry);
            appendState(time.nanos());
        }

        /**
         * Removes the instance of a name.
         *
         * @return Whether it was present, including changes that are not yet visible.
         */
        public synchronized boolean remove(String name) {
            boolean present = entries.remove(name) != null;
            appendState(time.nanos());
            return present;
        }

        /**
         * Appends the current entries as a state that becomes visible after the lag.
         *
         * @param now The current monotonic time in nanoseconds.
         */
        private void appendState(long now) {
            visibleAt(now);
            states.addLast(new State(now, List.copyOf(entries.values())));
        }

        /**
         * Returns the entries of the visible state, and drops the states before it.
         *
         * @param now The current monotonic time in nanoseconds.
         */
        private synchronized List<Entry> visibleAt(long now) {
            State state = states.getFirst();
            while (state.since() + lag - now <= 0) {
                states.removeFirst();
                State next = states.peekFirst();
                if (next == null || next.since() + lag - now > 0) {
                    states.addFirst(state);
                    break;
                }
                state = next;
            }
            return state.entries();
        }

        /**
         * The content of the list after a change.
         *
         * @param since The monotonic time of the change in nanoseconds.
         * @param entries All entries, ordered by name.
         */
        private record State(long since, List<Entry> entries) {}
    }

    /** The list of a remote platform, read over HTTP at each call. */
    final class ForHttp implements InstanceList {

        /** The step that failures of {@link #read} name. */
        public static final String READ_STEP = "instances.read";

        /** The meter that counts calls of {@link #read}. */
        private static final String READS = "platform.instances.reads";

        private final PlatformClient client;

        private ForHttp(PlatformClient client) {
            this.client = client;
        }

        /**
         * Creates a list that reads through a client.
         *
         * @param client The client, which the list does not close.
         */
        public static InstanceList of(PlatformClient client) {
            return new ForHttp(client);
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, List<Entry>>> read() {
            Call call = Call.idempotent(READ_STEP, READS, HttpMethod.GET, "/instances", Call.NO_BODY);
            return client.exchange(call)
                    .map(result -> result.flatMap(answer -> Messages.read(InstanceMessages.Items.class, answer.body())
                            .flatMap(InstanceMessages.Items::entries)
                            .mapLeft(detail -> client.corrupt(call, detail))));
        }
    }
}
