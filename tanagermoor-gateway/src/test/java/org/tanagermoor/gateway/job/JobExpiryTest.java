package org.tanagermoor.gateway.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagermoor.gateway.fleet.Backend;
import org.tanagermoor.gateway.fleet.CallerLimits;
import org.tanagermoor.gateway.fleet.FleetConfiguration;
import org.tanagermoor.gateway.fleet.Route;
import org.tanagermoor.gateway.fleet.RouteKind;
import org.tanagermoor.gateway.proto.JobRow;

/** What an owner of a job does with its items, by what it knows of the route and of the age of the job. */
final class JobExpiryTest {

    private static final long LIMIT_MILLIS = 60_000;

    private static final JobRow JOB = JobRow.newBuilder()
            .setHost("host")
            .setPath("/batch/j")
            .setAcceptedMillis(1_000_000)
            .setAbandonMillis(LIMIT_MILLIS)
            .setConfigurationVersion(5)
            .build();

    private final JobExpiry expiry = JobExpiry.of();

    /**
     * Gone is not the same as not known yet: no item is given up on the word of a configuration that is missing, or
     * older than one that an earlier owner has used.
     */
    @ParameterizedTest
    @CsvSource({"-1, 0", "4, 0", "4, 600000"})
    void waitsWhileTheConfigurationIsNotKnown(long version, long ageMillis) {
        assertThat(decide(version, null, ageMillis, 0), instanceOf(JobExpiry.Decision.Wait.class));
        assertThat(
                decide(version, null, ageMillis, TimeUnit.HOURS.toMillis(1)),
                instanceOf(JobExpiry.Decision.Wait.class));
    }

    /** An owner that had never seen the route compared the age of the job with nothing, and waited for ever. */
    @ParameterizedTest
    @CsvSource({
        "9900, 9900, 9900, WAIT",
        "10000, 10000, 10000, WAITING",
        "60000, 0, 0, WAIT",
        "60000, 9900, 60001, ALL",
        "60000, -1, 60001, WAIT",
        "10000, 10000, 60001, ALL"
    })
    void givesUpOnceTheRouteIsKnownToBeGone(long atMillis, long readAtMillis, long ageMillis, Expected expected) {
        assertThat(decide(6, null, 0, 0), instanceOf(JobExpiry.Decision.Wait.class));
        JobExpiry.Decision decision = expiry.decide(
                route(6, null),
                JOB,
                ageMillis,
                TimeUnit.MILLISECONDS.toNanos(readAtMillis),
                TimeUnit.MILLISECONDS.toNanos(atMillis));
        assertThat(decision, instanceOf(expected.type));
        if (decision instanceof JobExpiry.Decision.AbandonWaiting waiting) {
            assertThat(waiting.reason(), containsString("version 6"));
        }
    }

    /** A job of an earlier program, whose row has no limit, is given up as well. */
    @Test
    void givesUpAJobWithoutALimit() {
        JobRow old =
                JOB.toBuilder().clearAbandonMillis().clearConfigurationVersion().build();
        assertThat(
                expiry.decide(route(6, null), old, LIMIT_MILLIS + 1, 0, 0), instanceOf(JobExpiry.Decision.Wait.class));
        long now = JobExpiry.ROUTE_ABSENCE_NANOS;
        assertThat(
                expiry.decide(route(6, null), old, LIMIT_MILLIS + 1, now, now),
                instanceOf(JobExpiry.Decision.AbandonWaiting.class));
    }

    /** A route that is put back in time runs the job, by its own limit or that of the acceptance, whichever is later. */
    @ParameterizedTest
    @CsvSource({
        "60000, 60000, RUN",
        "60000, 60001, ALL",
        "90000, 60001, RUN",
        "90000, 90001, ALL",
        "5000, 60000, RUN",
        "5000, 60001, ALL"
    })
    void runsOnceTheRouteIsBack(long limitMillis, long ageMillis, Expected expected) {
        decide(6, null, 0, 0);
        decide(6, null, 0, 9_000);
        Route back = route(limitMillis);
        assertThat(decide(7, back, ageMillis, 9_500), instanceOf(expected.type));
        assertThat(decide(8, null, 0, 10_500), instanceOf(JobExpiry.Decision.Wait.class));
    }

    /** The age of a job is measured by the clock of the store, not by those of two instances. */
    @ParameterizedTest
    @CsvSource({
        "500000, 560000, 1000000, 0, 59000",
        "500000, 560000, 9000000, 0, 59000",
        "500000, -1, 1060000, 0, 50000",
        "0, 560000, 1060000, 0, 50000",
        "0, -1, 900000, 30000, 30000",
        "500000, 501000, 1000000, 30000, 30000"
    })
    void measuresTheAgeOfAJob(
            long acceptedStoreMillis, long storeMillis, long wallMillis, long knownMillis, long ageMillis) {
        JobRow job = JOB.toBuilder().setAcceptedStoreMillis(acceptedStoreMillis).build();
        OptionalLong store = storeMillis < 0 ? OptionalLong.empty() : OptionalLong.of(storeMillis);
        assertThat(JobAge.millis(job, store, wallMillis, knownMillis), is(ageMillis));
    }

    /** Decides with a configuration that is read all the time; a negative version is for none. */
    private JobExpiry.Decision decide(long version, Route route, long ageMillis, long atMillis) {
        long now = TimeUnit.MILLISECONDS.toNanos(atMillis);
        return expiry.decide(route(version, route), JOB, ageMillis, now, now);
    }

    private static JobRoute route(long version, Route route) {
        Optional<FleetConfiguration> configuration = version < 0
                ? Optional.empty()
                : Optional.of(FleetConfiguration.of(
                        version,
                        route == null ? List.of() : List.of(route),
                        List.of(),
                        List.of(),
                        Map.of(),
                        CallerLimits.DEFAULT));
        return JobRoute.of(configuration, JOB);
    }

    private static Route route(long limitMillis) {
        return new Route(
                "batch",
                "host",
                "/batch/",
                RouteKind.BATCH,
                List.of(new Backend("s", 1)),
                15_000,
                400,
                3,
                false,
                true,
                new Route.BatchLimits(18_000, limitMillis, 0));
    }

    /** The decisions that the cases expect. */
    enum Expected {
        RUN(JobExpiry.Decision.Run.class),
        WAIT(JobExpiry.Decision.Wait.class),
        WAITING(JobExpiry.Decision.AbandonWaiting.class),
        ALL(JobExpiry.Decision.AbandonAll.class);

        private final Class<? extends JobExpiry.Decision> type;

        Expected(Class<? extends JobExpiry.Decision> type) {
            this.type = type;
        }
    }
}
