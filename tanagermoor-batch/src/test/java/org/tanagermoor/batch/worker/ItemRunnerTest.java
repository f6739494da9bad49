package org.tanagermoor.batch.worker;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.tanagermoor.batch.item.Item;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.policy.configuration.Service;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TeamId;
import org.tanagermoor.target.client.AnswerPart;
import org.tanagermoor.target.client.TargetClient;
import org.tanagermoor.target.lease.LeaseRequest;
import org.tanagermoor.target.lease.Priority;
import org.tanagermoor.target.lease.TargetLease;
import org.tanagermoor.target.lease.Targets;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

class ItemRunnerTest {

    private final List<Priority> requestedPriorities = new ArrayList<>();

    private static ItemTask task() {
        String line = "{\"id\":\"item\",\"body\":{\"n\":1}}";
        return new ItemTask(
                "exchange",
                Item.parse(line.getBytes(StandardCharsets.UTF_8)).get(),
                true,
                ServiceName.of("echo"),
                Service.Kind.PLAIN,
                TeamId.of("alder"),
                1,
                Set.of(),
                new StartGate(() -> true),
                Mono.never(),
                Optional.empty());
    }

    @ParameterizedTest
    @EnumSource(Priority.class)
    void requestsPermitsWithItsPriority(Priority priority) {
        TargetClient client = (target, request) -> Flux.<AnswerPart>never();
        new ItemRunner(new NoTargets(), client, TimeSource.ForSystem.INSTANCE, priority)
                .run(task())
                .block();
        assertThat(requestedPriorities, contains(priority));
    }

    /** Refuses all requests for permits and records their priorities. */
    private final class NoTargets implements Targets {

        @Override
        public Mono<Either<Failure, TargetLease>> lease(LeaseRequest request) {
            requestedPriorities.add(request.priority());
            return Mono.just(Either.left(Failure.notRun(Failure.Kind.UNAVAILABLE, "test", "targets", "none")));
        }

        @Override
        public void observe(TargetLease lease, String startMark, long firstTokenNanos) {
            // No permit is granted, so there is nothing to observe.
        }
    }
}
