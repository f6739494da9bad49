package org.tanagermoor.session;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Concurrent callers, each of which sends one request after another and records the times of request and answer. */
final class Callers {

    private static final long DELAY_MILLIS = 20;

    private static final long DEADLINE_MILLIS = 1_000;

    private final Executor delayed = CompletableFuture.delayedExecutor(DELAY_MILLIS, TimeUnit.MILLISECONDS);

    private final Queue<Answer> answers = new ConcurrentLinkedQueue<>();

    private final List<CompletableFuture<Void>> loops = new ArrayList<>();

    private final AtomicInteger lastNumber = new AtomicInteger();

    private final Request request;

    private volatile boolean stopped;

    private Callers(Request request) {
        this.request = request;
    }

    /** Starts the given number of callers for each instance address; they send prompts with a key. */
    static Callers start(Collection<String> instances, int callersPerInstance, String key) {
        Http http = new Http();
        return start(
                instances,
                callersPerInstance,
                (instance, number) -> http.sendPrompt(instance, key, "again and again", 1, DEADLINE_MILLIS)
                        .thenApply(HttpResponse::statusCode));
    }

    /** Starts the given number of callers for each instance address; they send the given requests. */
    static Callers start(Collection<String> instances, int callersPerInstance, Request request) {
        Callers result = new Callers(request);
        for (String instance : instances) {
            for (int caller = 0; caller < callersPerInstance; caller++) {
                result.loops.add(result.sendRepeatedly(instance));
            }
        }
        return result;
    }

    /** Returns the number of requests that have ended so far, with or without an answer. */
    int count() {
        return answers.size();
    }

    /** Stops sending, waits for outstanding answers, and returns the answers with status 200. */
    List<Answer> stopAndGetServed() {
        return stopAndGetAll().stream().filter(answer -> answer.status() == 200).toList();
    }

    /** Stops sending, waits for outstanding answers, and returns all answers. */
    List<Answer> stopAndGetAll() {
        stopped = true;
        loops.forEach(CompletableFuture::join);
        return List.copyOf(answers);
    }

    /**
     * Returns the maximum number of requests by which the served requests exceed a rate, over all intervals. A request
     * was admitted at some time between its sending and its answer, so only intervals that contain both count it.
     *
     * @param rate in requests per second
     */
    static double excess(List<Answer> served, double rate) {
        double maximum = 0;
        for (Answer first : served) {
            List<Long> answerTimes = served.stream()
                    .filter(answer -> answer.sentAt() >= first.sentAt())
                    .map(Answer::answeredAt)
                    .sorted()
                    .toList();
            for (int index = 0; index < answerTimes.size(); index++) {
                maximum = Math.max(maximum, index + 1 - rate * (answerTimes.get(index) - first.sentAt()) / 1e9);
            }
        }
        return maximum;
    }

    private CompletableFuture<Void> sendRepeatedly(String instance) {
        if (stopped) {
            return CompletableFuture.completedFuture(null);
        }
        long sentAt = System.nanoTime();
        int number = lastNumber.incrementAndGet();
        return request.send(instance, number)
                .handle((status, failure) -> failure == null ? status : 0)
                .thenAccept(status -> answers.add(new Answer(instance, number, sentAt, System.nanoTime(), status)))
                .thenComposeAsync(ignored -> sendRepeatedly(instance), delayed);
    }

    /** Sends a request with a unique number to the address of an instance, and returns the status of the answer. */
    interface Request {

        CompletableFuture<Integer> send(String instance, int number);
    }

    /** The outcome of a request, with monotonic times in nanoseconds; the status is 0 if there was no answer. */
    record Answer(String instance, int number, long sentAt, long answeredAt, int status) {}
}
