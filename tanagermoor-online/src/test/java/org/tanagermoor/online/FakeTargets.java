package org.tanagermoor.online;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.configuration.Target;
import org.tanagermoor.target.lease.LeaseRequest;
import org.tanagermoor.target.lease.TargetLease;
import org.tanagermoor.target.lease.Targets;
import reactor.core.publisher.Mono;

final class FakeTargets implements Targets {

    final List<Target> targets = new CopyOnWriteArrayList<>();
    final List<LeaseRequest> leaseRequests = Collections.synchronizedList(new ArrayList<>());
    final BlockingQueue<TargetLease.Result> released = new LinkedBlockingQueue<>();
    volatile Runnable beforeLease = () -> {};

    @Override
    public Mono<Either<Failure, TargetLease>> lease(LeaseRequest request) {
        return Mono.fromSupplier(() -> {
            leaseRequests.add(request);
            beforeLease.run();
            for (Target target : targets) {
                boolean serviceMatches = target.service().equals(request.service());
                if (serviceMatches && !request.excluded().contains(target.id())) {
                    return Either.right(new Lease(target));
                }
            }
            return Either.left(
                    Failure.notRun(Failure.Kind.UNAVAILABLE, "target.lease", Failure.LOCAL, "no target is left"));
        });
    }

    @Override
    public void observe(TargetLease lease, String startMark, long firstTokenNanos) {}

    private final class Lease implements TargetLease {

        private final Target target;
        private final AtomicBoolean open = new AtomicBoolean(true);

        Lease(Target target) {
            this.target = target;
        }

        @Override
        public Target target() {
            return target;
        }

        @Override
        public Mono<Void> recalled() {
            return Mono.never();
        }

        @Override
        public void release(Result result) {
            if (open.compareAndSet(true, false)) {
                released.add(result);
            }
        }
    }
}
