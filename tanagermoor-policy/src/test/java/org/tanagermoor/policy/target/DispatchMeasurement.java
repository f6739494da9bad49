package org.tanagermoor.policy.target;

import java.io.PrintStream;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.configuration.Change;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.configuration.Service;
import org.tanagermoor.policy.configuration.Target;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.fleet.TeamId;

/**
 * Measures the cost of a call of {@link PermitBook#dispatch} while requests wait and no permit is free. Not a test; run
 * it by hand.
 */
public final class DispatchMeasurement {

    private static final PrintStream OUT = System.out;

    private static final ServiceName SERVICE = ServiceName.of("m");

    private static final int TARGETS = 6;

    private static final int TEAMS = 8;

    private static final int PREFIXES = 60;

    private static final int WARM_UP_CALLS = 2_000;

    private static final int CALLS = 1_000;

    private static final double NANOS_PER_MICRO = 1_000;

    private DispatchMeasurement() {}

    /**
     * Prints the cost of a call for several numbers of waiting requests.
     *
     * @param arguments None.
     */
    public static void main(String[] arguments) {
        Configuration configuration = configuration();
        for (int waiting : new int[] {0, 10, 100, 300, 1_000}) {
            PermitBook<String> book = book(configuration, waiting);
            measureNanos(book, WARM_UP_CALLS);
            double micros = measureNanos(book, CALLS) / NANOS_PER_MICRO / CALLS;
            OUT.printf(Locale.ROOT, "waiting %d: %.1f us for a call%n", waiting, micros);
        }
    }

    private static long measureNanos(PermitBook<String> book, int count) {
        long start = System.nanoTime();
        for (int call = 0; call < count; call++) {
            book.dispatch(1);
        }
        return System.nanoTime() - start;
    }

    private static PermitBook<String> book(Configuration configuration, int waiting) {
        PermitBook<String> book = PermitBook.of(FailureDomain.of("d0"), Optional.empty());
        book.adopt(configuration, 0);
        for (int index = 0; index < waiting; index++) {
            Demand demand = new Demand(TeamId.of("team" + index % TEAMS), "prefix-" + index % PREFIXES);
            book.enqueue(book.ticket(demand, "waiter", index, 0));
        }
        for (int widened = 1; widened <= TARGETS; widened++) {
            book.expire(widened * 10L * PermitBook.NANOS_PER_MILLI);
        }
        return book;
    }

    private static Configuration configuration() {
        Configuration result =
                with(Configuration.EMPTY, new Change.PutService(Service.of(SERVICE, Service.Kind.MODEL, false, true)));
        for (int index = 0; index < TARGETS; index++) {
            Address address = Address.of("127.0.0.1", 1);
            FailureDomain domain = FailureDomain.of("d" + index % 3);
            TargetId id = TargetId.of("t" + index);
            result = with(result, new Change.PutTarget(new Target(id, SERVICE, domain, address, 8, 8, 0, false)));
        }
        return result;
    }

    private static Configuration with(Configuration base, Change change) {
        return base.with(change, base.version() + 1, "change").get();
    }

    private record Demand(TeamId team, String affinity) implements PermitDemand {

        @Override
        public ServiceName service() {
            return SERVICE;
        }

        @Override
        public double weight() {
            return 1;
        }

        @Override
        public boolean batch() {
            return false;
        }

        @Override
        public Set<TargetId> excluded() {
            return Set.of();
        }

        @Override
        public long deadline() {
            return Long.MAX_VALUE / 2;
        }
    }
}
