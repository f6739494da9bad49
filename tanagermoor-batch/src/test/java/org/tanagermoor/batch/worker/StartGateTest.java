package org.tanagermoor.batch.worker;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagermoor.kernel.failure.Execution;
import org.tanagermoor.kernel.failure.FailureException;
import reactor.core.publisher.Flux;

class StartGateTest {

    @ParameterizedTest
    @CsvSource({"false, true, true", "false, false, false", "true, true, false", "true, false, false"})
    void startsOnlyWhileOpenAndAllowed(boolean closed, boolean allowed, boolean starts) {
        AtomicInteger started = new AtomicInteger();
        StartGate gate = new StartGate(() -> allowed);
        if (closed) {
            gate.close();
        }
        Execution execution = gate.guard(Flux.defer(() -> Flux.just(started.incrementAndGet())))
                .map(number -> Execution.UNKNOWN)
                .onErrorResume(
                        error -> Flux.just(((FailureException) error).failure().execution()))
                .blockLast();
        assertThat(started.get(), is(starts ? 1 : 0));
        assertThat(execution, is(starts ? Execution.UNKNOWN : Execution.NOT_RUN));
    }

    @Test
    void checksWhetherStartIsAllowedAtTheStartAndNotBefore() {
        AtomicBoolean allowed = new AtomicBoolean(true);
        Flux<Integer> guarded = new StartGate(allowed::get).guard(Flux.just(1));
        allowed.set(false);
        assertThat(guarded.onErrorReturn(0).blockLast(), is(0));
    }
}
