package org.tanagermoor.batch;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntConsumer;
import java.util.function.LongConsumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.tanagermoor.http.Json;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.configuration.Target;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.target.client.AnswerPart;
import org.tanagermoor.target.client.StreamPosition;
import org.tanagermoor.target.client.TargetClient;
import org.tanagermoor.target.client.TargetRequest;
import org.tanagermoor.target.lease.LeaseRequest;
import org.tanagermoor.target.lease.TargetLease;
import org.tanagermoor.target.lease.Targets;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxSink;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Schedulers;

/** Fake targets that record which items they ran. An item contains a number; a plain target answers its double. */
public final class FakeTargets implements Targets, TargetClient {

    /** Numbers whose run has started, once for each run. */
    final Queue<Integer> started = new ConcurrentLinkedQueue<>();

    /** Numbers that have been answered, once for each answer. */
    final Queue<Integer> answered = new ConcurrentLinkedQueue<>();

    /** Numbers that make a target fail: it resets all its running requests. */
    final Set<Integer> poison = ConcurrentHashMap.newKeySet();

    /** Status of the answer by number, where it is not 200. */
    final Map<Integer, Integer> statuses = new ConcurrentHashMap<>();

    /** How often a number is refused by a target that is full and does not run it. */
    final Map<Integer, Integer> refusals = new ConcurrentHashMap<>();

    volatile IntConsumer onStart = number -> {};

    /** Number of tokens of an answer; 0 for plain targets. */
    final int tokens;

    /** Whether targets lose cancelled streams, so that none can be resumed. */
    volatile boolean losesStreams;

    /** Number of tokens that the targets have generated. */
    final AtomicLong tokensRun = new AtomicLong();

    /** Called after each token with the number of tokens generated so far. */
    volatile LongConsumer onToken = count -> {};

    /** Whether answers are held back for now. Guarded by this object, as are all fields below. */
    private boolean answersPaused;

    private final List<Lease> free = new ArrayList<>();

    private final Set<Lease> leased = new HashSet<>();

    private final Deque<MonoSink<Either<Failure, TargetLease>>> waiting = new ArrayDeque<>();

    private final Map<TargetId, Set<FluxSink<AnswerPart>>> running = new HashMap<>();

    private final List<Runnable> pausedAnswers = new ArrayList<>();

    private final long latencyMicros;

    public FakeTargets(int count, int capacity, long latencyMicros) {
        this(count, capacity, latencyMicros, 0);
    }

    FakeTargets(int count, int capacity, long latencyMicros, int tokens) {
        this.tokens = tokens;
        this.latencyMicros = latencyMicros;
        for (int index = 0; index < count; index++) {
            Target target = new Target(
                    TargetId.of("target-" + index),
                    ServiceName.of("echo"),
                    FailureDomain.of("here"),
                    Address.of("127.0.0.1", 1),
                    capacity,
                    capacity,
                    0,
                    false);
            running.put(target.id(), new HashSet<>());
            for (int slot = 0; slot < capacity; slot++) {
                free.add(new Lease(target));
            }
        }
    }

    @Override
    public Mono<Either<Failure, TargetLease>> lease(LeaseRequest request) {
        return Mono.create(sink -> {
            synchronized (this) {
                if (free.isEmpty()) {
                    waiting.addLast(sink);
                    return;
                }
            }
            grant(sink);
        });
    }

    private void grant(MonoSink<Either<Failure, TargetLease>> sink) {
        Lease lease;
        synchronized (this) {
            if (free.isEmpty()) {
                waiting.addFirst(sink);
                return;
            }
            lease = free.remove(free.size() - 1).fresh();
            leased.add(lease);
        }
        sink.success(Either.right(lease));
    }

    @Override
    public void observe(TargetLease lease, String startMark, long firstTokenNanos) {
        // These targets have no cold starts.
    }

    @Override
    public Flux<AnswerPart> send(Target target, TargetRequest request) {
        JsonNode body = Json.read("test", request.body()).get();
        int number = body.get("n").asInt();
        if (refusals.merge(number, -1, Integer::sum) >= 0) {
            return Flux.error(Failure.unknown(Failure.Kind.OVERLOADED, "target.head", "target", "full")
                    .asException());
        }
        return Flux.create(sink -> {
            started.add(number);
            onStart.accept(number);
            synchronized (this) {
                running.get(target.id()).add(sink);
            }
            sink.onDispose(() -> {
                synchronized (this) {
                    running.get(target.id()).remove(sink);
                }
            });
            if (tokens > 0) {
                sink.next(new AnswerPart.Head(200, "text/event-stream", "mark"));
                later(number, 0, sink);
                return;
            }
            Schedulers.parallel()
                    .schedule(() -> later(() -> answer(target, number, sink)), latencyMicros, TimeUnit.MICROSECONDS);
        });
    }

    @Override
    public Flux<AnswerPart> resume(Target target, TargetRequest request, StreamPosition position) {
        int number = Json.read("test", request.body()).get().get("n").asInt();
        return losesStreams
                ? Flux.error(Failure.unknown(Failure.Kind.UNAVAILABLE, "target.head", "target", "not known")
                        .asException())
                : Flux.create(sink -> later(number, position.next(), sink));
    }

    private void later(int number, int token, FluxSink<AnswerPart> sink) {
        Schedulers.parallel().schedule(() -> token(number, token, sink), latencyMicros, TimeUnit.MICROSECONDS);
    }

    private void token(int number, int token, FluxSink<AnswerPart> sink) {
        if (sink.isCancelled()) {
            return;
        }
        if (token == tokens) {
            end(number, sink);
            return;
        }
        long run = tokensRun.incrementAndGet();
        String event = "{\"choices\":[{\"index\":0,\"text\":\"" + text(number, token) + "\"}]}";
        sink.next(new AnswerPart.Piece(event.getBytes(StandardCharsets.UTF_8)));
        if (token + 1 < tokens) {
            later(number, token + 1, sink);
        } else {
            end(number, sink);
        }
        onToken.accept(run);
    }

    private void end(int number, FluxSink<AnswerPart> sink) {
        answered.add(number);
        sink.next(new AnswerPart.End());
        sink.complete();
    }

    private static String text(int number, int token) {
        return number + "." + token + " ";
    }

    /** Returns the text of the answer to a number. */
    String text(int number) {
        return IntStream.range(0, tokens).mapToObj(token -> text(number, token)).collect(Collectors.joining());
    }

    private void later(Runnable answer) {
        synchronized (this) {
            if (answersPaused) {
                pausedAnswers.add(answer);
                return;
            }
        }
        answer.run();
    }

    private void answer(Target target, int number, FluxSink<AnswerPart> sink) {
        if (sink.isCancelled()) {
            return;
        }
        if (poison.contains(number)) {
            List<FluxSink<AnswerPart>> all;
            synchronized (this) {
                all = List.copyOf(running.get(target.id()));
            }
            all.forEach(each -> each.error(Failure.unknown(
                            Failure.Kind.UNAVAILABLE, "target.read", target.id().value(), "reset")
                    .asException()));
            return;
        }
        answered.add(number);
        sink.next(new AnswerPart.Head(statuses.getOrDefault(number, 200), "application/json", "mark"));
        sink.next(new AnswerPart.Piece(("{\"double\":" + 2 * number + "}").getBytes(StandardCharsets.UTF_8)));
        sink.next(new AnswerPart.End());
        sink.complete();
    }

    /** Holds all answers back until {@link #resume}. */
    synchronized void hold() {
        answersPaused = true;
    }

    void resume() {
        List<Runnable> answers;
        synchronized (this) {
            answersPaused = false;
            answers = List.copyOf(pausedAnswers);
            pausedAnswers.clear();
        }
        answers.forEach(Runnable::run);
    }

    synchronized int running() {
        return running.values().stream().mapToInt(Set::size).sum();
    }

    /** Recalls all permits. */
    void recall() {
        List<Lease> all;
        synchronized (this) {
            all = List.copyOf(leased);
        }
        all.forEach(lease -> lease.recalled.tryEmitEmpty());
    }

    private final class Lease implements TargetLease {

        private final Target target;

        private final Sinks.Empty<Void> recalled = Sinks.empty();

        private boolean released;

        private Lease(Target target) {
            this.target = target;
        }

        private Lease fresh() {
            return new Lease(target);
        }

        @Override
        public Target target() {
            return target;
        }

        @Override
        public Mono<Void> recalled() {
            return recalled.asMono();
        }

        @Override
        public void release(Result result) {
            MonoSink<Either<Failure, TargetLease>> next;
            synchronized (FakeTargets.this) {
                if (released) {
                    return;
                }
                released = true;
                leased.remove(this);
                free.add(this);
                next = waiting.pollFirst();
            }
            if (next != null) {
                grant(next);
            }
        }
    }
}
