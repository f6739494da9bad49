package org.tanagermoor.batch;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.collection.HashMap;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.tanagermoor.batch.accept.JobIntake;
import org.tanagermoor.batch.accept.JobRequest;
import org.tanagermoor.batch.http.BatchEndpoints;
import org.tanagermoor.batch.http.JobCancel;
import org.tanagermoor.batch.http.ResultStream;
import org.tanagermoor.batch.peer.BatchPeers;
import org.tanagermoor.batch.proto.BatchRequest;
import org.tanagermoor.batch.proto.JobRow;
import org.tanagermoor.batch.steward.BatchTiming;
import org.tanagermoor.batch.steward.Steward;
import org.tanagermoor.batch.store.JobKey;
import org.tanagermoor.batch.store.JobRecord;
import org.tanagermoor.batch.store.JobStore;
import org.tanagermoor.batch.worker.Worker;
import org.tanagermoor.http.Digests;
import org.tanagermoor.http.HttpEndpoints;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.event.EventRecord;
import org.tanagermoor.kernel.event.EventType;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.time.HybridClock;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.configuration.KeyGrant;
import org.tanagermoor.policy.configuration.Service;
import org.tanagermoor.policy.configuration.Team;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TeamId;
import org.tanagermoor.policy.fleet.View;
import org.tanagermoor.policy.standing.Standing;
import org.tanagermoor.target.lease.Priority;
import org.tanagermoor.wire.link.Channel;
import org.tanagermoor.wire.link.PeerHandler;
import org.tanagermoor.wire.link.PeerLink;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Schedulers;

/** Instances, each with a steward and a worker, that share one fake platform and fake targets, all in memory. */
public final class FakeFleet implements AutoCloseable {

    public static final Duration LIMIT = Duration.ofSeconds(30);

    static final ServiceName SERVICE = ServiceName.of("echo");

    final FakePlatform platform = new FakePlatform();

    final FakeTargets targets;

    final List<Instance> instances = new ArrayList<>();

    final Map<String, Sinks.One<Boolean>> done = new ConcurrentHashMap<>();

    final List<Consumer<EventType>> listeners = new CopyOnWriteArrayList<>();

    /** The fault that happens to one message between instances, selected by its kind and a countdown. */
    enum LinkFault {
        REQUEST_LOST,
        ANSWER_LOST,
        SENDER_KILLED,
        RECEIVER_KILLED,
        SENDER_PAUSED
    }

    final AtomicInteger linkCountdown = new AtomicInteger();

    volatile BatchRequest.KindCase linkKind = BatchRequest.KindCase.KIND_NOT_SET;

    volatile LinkFault linkFault = LinkFault.REQUEST_LOST;

    volatile Runnable onLinkFault = () -> {};

    private final Map<Address, Instance> byAddress = new ConcurrentHashMap<>();

    private final Duration lease;

    private final int chunkItems;

    private volatile Configuration configuration = Configuration.EMPTY;

    private final int concurrency;

    private final long waitingBytes;

    public FakeFleet(int count, int chunkItems, Duration lease, FakeTargets targets) {
        this(count, chunkItems, lease, targets, 8, 2_000);
    }

    FakeFleet(int count, int chunkItems, Duration lease, FakeTargets targets, int concurrency, long waitingBytes) {
        this.concurrency = concurrency;
        this.waitingBytes = waitingBytes;
        this.targets = targets;
        this.lease = lease;
        this.chunkItems = chunkItems;
        platform.committed = transaction -> transaction.writes().stream()
                .filter(write -> write.key().table().equals("batch-ended") && write.value() != null)
                .forEach(write -> completeJob(write.key().key()));
        List<Member> members = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            Address address = Address.of("127.0.0.1", 10_000 + index);
            members.add(Member.of(InstanceId.of("instance-" + index, 7), FailureDomain.of("here"), address, address));
        }
        adopt(View.of(1, members));
        members.forEach(member -> instances.add(new Instance(member)));
        instances.forEach(Instance::start);
    }

    private void completeJob(String position) {
        String id = position.substring(position.indexOf('-') + 1);
        done.computeIfAbsent(id, key -> Sinks.one()).tryEmitValue(true);
    }

    private synchronized void adopt(View view) {
        Service.Kind kind = targets.tokens == 0 ? Service.Kind.PLAIN : Service.Kind.MODEL;
        Service service = Service.of(SERVICE, kind, false, true);
        configuration = new Configuration(
                view.version(),
                "",
                Configuration.EMPTY.presetInForce(),
                Configuration.EMPTY.presets(),
                HashMap.of(
                        team("alder"), Team.of(team("alder"), 1, 1, 1), team("birch"), Team.of(team("birch"), 1, 1, 1)),
                HashMap.of(sha256("alder"), grant("alder"), sha256("birch"), grant("birch")),
                HashMap.of(SERVICE, service),
                Configuration.EMPTY.targets(),
                Configuration.EMPTY.domainsOut(),
                view);
    }

    private static TeamId team(String name) {
        return TeamId.of(name);
    }

    private static String sha256(String name) {
        return Digests.sha256(name + "-key");
    }

    private static KeyGrant grant(String name) {
        return KeyGrant.of(sha256(name), team(name));
    }

    /** Registers the endpoints of the first instance. */
    public void register(HttpEndpoints endpoints) {
        Instance first = instances.get(0);
        new BatchEndpoints(first.store, first.intake, first.cancel, first.peers, first, first).register(endpoints);
    }

    synchronized void remove(Instance instance) {
        View view = configuration.view();
        adopt(view.withoutMember(view.version() + 1, instance.member.id()));
    }

    static JobKey key(String name) {
        return JobKey.of("alder", name);
    }

    /** Returns items numbered from 0, one a line. Multiples of the divisor, unless it is 0, are not repeatable. */
    static String lines(int count, int divisor) {
        StringBuilder lines = new StringBuilder();
        for (int number = 0; number < count; number++) {
            boolean repeatable = divisor == 0 || number % divisor != 0;
            lines.append("{\"id\":\"item-" + number + "\",\"repeatable\":" + repeatable + ",\"body\":{\"n\":" + number
                    + "}}\n");
        }
        return lines.toString();
    }

    /** Sends a job, and retries through the next instance until an answer confirms that the job was accepted. */
    JobRecord send(String name, String lines) {
        for (int attempt = 0; attempt < 20; attempt++) {
            Instance instance = instances.get(attempt % instances.size());
            if (!instance.alive()) {
                continue;
            }
            Optional<Either<Failure, JobRecord>> result = instance.send(name, lines);
            if (result.isPresent() && result.get().isRight()) {
                firstAlive().peers.notifySteward(key(name));
                return result.get().get();
            }
        }
        throw new AssertionError("the job was not accepted");
    }

    Instance firstAlive() {
        return instances.stream().filter(Instance::alive).findFirst().orElseThrow();
    }

    Instance steward(String name) {
        InstanceId id = firstAlive().peers.steward(key(name)).orElseThrow().id();
        return instances.stream()
                .filter(instance -> instance.member.id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    public void awaitEnd(String name) {
        done.computeIfAbsent(key(name).id(), id -> Sinks.one()).asMono().block(LIMIT);
    }

    JobRecord job(String name) {
        return reader().read(key(name)).block(LIMIT).get().orElseThrow();
    }

    List<String> results(String name) {
        JobStore store = reader();
        JobRecord job = job(name);
        String text = store.objects()
                .layout(job)
                .flatMapMany(layout -> store.progress()
                        .read(job)
                        .flatMapMany(log -> new ResultStream(store, job, layout.get()).lines(log.get())))
                .map(bytes -> new String(bytes, StandardCharsets.UTF_8))
                .collect(java.util.stream.Collectors.joining())
                .block(LIMIT);
        return text.lines().toList();
    }

    private JobStore reader() {
        return JobStore.of(platform.tables, platform.objects, BatchMetrics.of(new MetricRegistry()));
    }

    @Override
    public void close() {
        targets.resume();
        instances.forEach(Instance::close);
    }

    /** One instance, with all parts that batch needs. A test can kill, freeze or pause it. */
    final class Instance implements FakePlatform.Client, Membership, TimeSource, PeerLink, EventLog {

        final Member member;

        final MetricRegistry registry = new MetricRegistry();

        final JobStore store;

        final BatchPeers peers;

        final Sinks.One<Boolean> killed = Sinks.one();

        final HybridClock clock = new HybridClock();

        JobCancel cancel;

        Steward steward;

        Worker worker;

        private JobIntake intake;

        private PeerHandler handler;

        private volatile boolean dead;

        volatile Standing standing = Standing.FULL;

        volatile boolean authorized = true;

        /** The configuration that this instance still uses while it is cut off; {@code null} if it is not cut off. */
        volatile Configuration pinnedConfiguration;

        private boolean frozen;

        Instance(Member member) {
            this.member = member;
            store = JobStore.of(platform.tables(this), platform.objects(this), BatchMetrics.of(registry));
            peers = new BatchPeers(this, this);
            byAddress.put(member.peerAddress(), this);
        }

        void start() {
            BatchMetrics metrics = BatchMetrics.of(registry);
            BatchTiming timing = new BatchTiming(lease, Duration.ofMillis(200));
            steward = new Steward(store, peers, this, this, metrics, this, timing);
            worker = new Worker(
                    store,
                    peers,
                    this,
                    targets,
                    targets,
                    metrics,
                    this,
                    this,
                    new Worker.Limits(concurrency, lease, waitingBytes, Priority.BATCH));
            peers.handle(new BatchDispatch(steward, worker)::handle);
            intake = new JobIntake(store, this, this, this, new JobIntake.Limits(chunkItems, Duration.ofSeconds(20)));
            cancel = new JobCancel(store, peers, this);
        }

        /** Sends a job through this instance; empty if this instance was killed before it answered. */
        Optional<Either<Failure, JobRecord>> send(String name, String lines) {
            JobRequest request = new JobRequest(key(name), SERVICE, 1_000_000, true, () -> authorized);
            return send(request, Flux.just(lines.getBytes(StandardCharsets.UTF_8)));
        }

        /** Sends a job with an upload time limit of zero, so that its upload is always late. */
        Either<Failure, JobRecord> sendLate(String name) {
            JobIntake.Limits limits = new JobIntake.Limits(chunkItems, Duration.ZERO);
            return new JobIntake(store, this, this, this, limits)
                    .accept(new JobRequest(key(name), SERVICE, 1, true, () -> true), Flux.never())
                    .block(LIMIT);
        }

        Optional<Either<Failure, JobRecord>> send(JobRequest request, Flux<byte[]> body) {
            return intake.accept(request, body)
                    .subscribeOn(Schedulers.boundedElastic())
                    .takeUntilOther(killed.asMono())
                    .blockOptional(LIMIT);
        }

        @Override
        public boolean alive() {
            return !dead;
        }

        /** Kills this instance: it leaves the view, and nothing that it does has an effect any more. */
        @Override
        public void kill() {
            if (!dead) {
                dead = true;
                killed.tryEmitValue(true);
                remove(this);
            }
        }

        /** Stops the clock and all duties of this instance, and removes it from the view of the others. */
        @Override
        public void freeze() {
            synchronized (killed) {
                frozen = true;
            }
            remove(this);
        }

        /** Stops the clock and all duties of this instance but leaves it in the view. */
        private void pause() {
            synchronized (killed) {
                frozen = true;
            }
        }

        void thaw() {
            synchronized (killed) {
                frozen = false;
                killed.notifyAll();
            }
        }

        @Override
        public void waitUntilThawed() {
            synchronized (killed) {
                while (frozen) {
                    try {
                        killed.wait();
                    } catch (InterruptedException exception) {
                        Thread.currentThread().interrupt();
                        return;
                    }
                }
            }
        }

        void close() {
            thaw();
            dead = true;
            worker.close();
            steward.close();
        }

        @Override
        public Member self() {
            return member;
        }

        @Override
        public Standing standing(long now) {
            return dead ? Standing.NONE : standing;
        }

        @Override
        public Configuration configuration() {
            Configuration own = pinnedConfiguration;
            return own == null ? configuration : own;
        }

        @Override
        public boolean viewAccepted(long now) {
            return true;
        }

        @Override
        public boolean seenRecently(InstanceId id, long now) {
            return true;
        }

        @Override
        public void onAdopted(Consumer<Configuration> listener) {
            listener.accept(configuration());
        }

        @Override
        public void leave() {
            remove(this);
        }

        @Override
        public long nanos() {
            waitUntilThawed();
            return System.nanoTime();
        }

        @Override
        public long wallMillis() {
            return System.currentTimeMillis();
        }

        @Override
        public void handle(Channel channel, PeerHandler value) {
            handler = value;
        }

        @Override
        public Mono<Either<Failure, byte[]>> call(
                Address address, long incarnation, Channel channel, byte[] request, Duration timeout) {
            Failure silent = Failure.unknown(Failure.Kind.TIMEOUT, "link", address.toString(), "silent");
            return Mono.defer(() -> dead || byAddress.get(address).dead
                            ? Mono.<Either<Failure, byte[]>>never()
                            : transmit(byAddress.get(address), request))
                    .subscribeOn(Schedulers.boundedElastic())
                    .filter(answer -> !dead)
                    .timeout(timeout, Mono.fromSupplier(() -> {
                        byAddress.get(address).thaw();
                        return Either.left(silent);
                    }))
                    .defaultIfEmpty(Either.left(silent));
        }

        private Mono<Either<Failure, byte[]>> transmit(Instance receiver, byte[] request) {
            Mono<Either<Failure, byte[]>> handled = receiver.handler.handle(member.id(), request);
            if (kind(request) != linkKind) {
                return handled;
            }
            return switch (linkFault) {
                case REQUEST_LOST, SENDER_KILLED, SENDER_PAUSED ->
                    countdownReachesZero() ? loseMessage(receiver) : handled;
                case ANSWER_LOST, RECEIVER_KILLED ->
                    handled.flatMap(answer ->
                            isCounted(answer) && countdownReachesZero() ? loseMessage(receiver) : Mono.just(answer));
            };
        }

        /** Returns whether an answer counts down. Answers without chunks to requests for chunks do not. */
        private boolean isCounted(Either<Failure, byte[]> answer) {
            return linkKind != BatchRequest.KindCase.ASK || (answer.isRight() && answer.get().length > 0);
        }

        private boolean countdownReachesZero() {
            return linkCountdown.decrementAndGet() == 0;
        }

        private Mono<Either<Failure, byte[]>> loseMessage(Instance receiver) {
            switch (linkFault) {
                case SENDER_KILLED -> kill();
                case RECEIVER_KILLED -> receiver.kill();
                case SENDER_PAUSED -> pause();
                default -> {}
            }
            onLinkFault.run();
            return Mono.never();
        }

        private static BatchRequest.KindCase kind(byte[] request) {
            try {
                return BatchRequest.parseFrom(request).getKindCase();
            } catch (InvalidProtocolBufferException exception) {
                throw new IllegalStateException(exception);
            }
        }

        @Override
        public Address address() {
            return member.peerAddress();
        }

        @Override
        public long bytes() {
            return 0;
        }

        @Override
        public void record(EventType type, Object... fields) {
            listeners.forEach(listener -> listener.accept(type));
        }

        @Override
        public List<EventRecord> since(long sequence, int limit) {
            return List.of();
        }

        @Override
        public HybridClock clock() {
            return clock;
        }
    }

    static JobRow.State state(JobRecord job) {
        return job.row().getState();
    }
}
