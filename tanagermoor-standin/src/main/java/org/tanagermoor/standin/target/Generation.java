package org.tanagermoor.standin.target;

import java.time.Duration;
import java.util.function.LongSupplier;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** A request that a target runs: the tokens of a completion, or the call of a plain service without any. */
final class Generation {

    /** The words of which the text consists. */
    private static final String[] WORDS = {
        "reflector", "panel", "pole", "ferrule", "shoe", "claim", "order", "size", "stock", "shipment"
    };

    /** The entry in the record. */
    private final ExecutionLog.Entry entry;

    /** The prompt. */
    private final String prompt;

    /** The number of tokens. */
    private final int tokens;

    /** The time to the first token. */
    private final Duration firstToken;

    /** The time between two tokens. */
    private final Duration tokenInterval;

    /** Reads the monotonic time in nanoseconds. */
    private final LongSupplier time;

    /** The number of the first token that is executed, as those before it were executed earlier. */
    private final int first;

    /** Emits the monotonic time in nanoseconds at which it started. */
    private final Sinks.One<Long> started = Sinks.one();

    /** The monotonic time in nanoseconds at which it started. */
    private volatile long startedAt;

    /** Completes when the request was cancelled or lost. */
    private final Sinks.Empty<Void> aborted = Sinks.empty();

    /**
     * Creates a request that does not run yet.
     *
     * @param entry The entry in the record.
     * @param prompt The prompt.
     * @param tokens The number of tokens.
     * @param firstToken The time to the first token.
     * @param tokenInterval The time between two tokens.
     * @param time Reads the monotonic time in nanoseconds.
     * @param first The number of the first token that is executed.
     */
    Generation(
            ExecutionLog.Entry entry,
            String prompt,
            int tokens,
            Duration firstToken,
            Duration tokenInterval,
            LongSupplier time,
            int first) {
        this.entry = entry;
        this.prompt = prompt;
        this.tokens = tokens;
        this.firstToken = firstToken;
        this.tokenInterval = tokenInterval;
        this.time = time;
        this.first = first;
    }

    /**
     * Returns a request that goes on with what this one was cancelled in.
     *
     * @param again The entry in the record.
     * @param delay The time to the first token.
     * @param from The number of the first token.
     * @return A request that does not run yet.
     */
    Generation resumed(ExecutionLog.Entry again, Duration delay, int from) {
        return new Generation(again, prompt, tokens, delay, tokenInterval, time, Math.min(from, tokens));
    }

    /**
     * Returns the entry in the record.
     *
     * @return The entry in the record.
     */
    ExecutionLog.Entry entry() {
        return entry;
    }

    /**
     * Returns the number of tokens.
     *
     * @return The number of tokens.
     */
    int tokens() {
        return tokens;
    }

    /**
     * Starts the request.
     *
     * @param now The present monotonic time in nanoseconds.
     */
    void start(long now) {
        startedAt = now;
        entry.state(ExecutionLog.State.RUNNING);
        started.tryEmitValue(now);
    }

    /**
     * Ends the request before it was executed as a whole.
     *
     * @param state How far it came.
     */
    void abort(ExecutionLog.State state) {
        boolean began = entry.state() == ExecutionLog.State.RUNNING;
        if (began) {
            entry.tokens(executed());
        }
        entry.state(began ? state : ExecutionLog.State.REFUSED);
        aborted.tryEmitEmpty();
    }

    /** Ends the request after it was executed as a whole. */
    void finish() {
        entry.tokens(tokens - first);
        entry.state(ExecutionLog.State.FINISHED);
    }

    /**
     * Returns the tokens that were executed since the start.
     *
     * @return The number of tokens.
     */
    private int executed() {
        int next = first;
        while (next < tokens && due(next).toNanos() <= time.getAsLong() - startedAt) {
            next++;
        }
        return next - first;
    }

    /**
     * Returns the time that the execution takes.
     *
     * @return The time from the start to the end.
     */
    Duration duration() {
        return due(Math.max(first, tokens - 1));
    }

    /**
     * Returns the numbers of the tokens from one on, each when it is due. Ends early when the request is aborted.
     *
     * @param from The number of the first token.
     * @return The numbers of the tokens.
     */
    Flux<Integer> tokens(int from) {
        Flux<Integer> numbers = Flux.range(from, Math.max(0, tokens - from));
        return started.asMono()
                .flatMapMany(start -> numbers.concatMap(number -> delayed(start, due(number), number), 1))
                .takeUntilOther(aborted.asMono());
    }

    /**
     * Completes when the execution has ended or was aborted.
     *
     * @return Completes at the end.
     */
    Mono<Void> ended() {
        return started.asMono()
                .flatMap(start -> delayed(start, duration(), 0))
                .then()
                .takeUntilOther(aborted.asMono());
    }

    /**
     * Returns whether the request was aborted.
     *
     * @return Whether it was aborted.
     */
    boolean isAborted() {
        return entry.state() != ExecutionLog.State.RUNNING
                && entry.state() != ExecutionLog.State.FINISHED
                && entry.state() != ExecutionLog.State.WAITING;
    }

    /**
     * Returns the text of a token, which depends on nothing but the prompt and the number.
     *
     * @param prompt The prompt.
     * @param number The number of the token from 0.
     * @return The text, which begins with a space except for the first.
     */
    static String text(String prompt, int number) {
        String word = WORDS[Math.floorMod(prompt.hashCode() * 31 + number * 7, WORDS.length)];
        return number == 0 ? word : " " + word;
    }

    /**
     * Returns the text of a token.
     *
     * @param number The number of the token from 0.
     * @return The text.
     */
    String text(int number) {
        return text(prompt, number);
    }

    /**
     * Returns the text of all tokens.
     *
     * @return The text of all tokens.
     */
    String text() {
        StringBuilder result = new StringBuilder();
        for (int number = 0; number < tokens; number++) {
            result.append(text(number));
        }
        return result.toString();
    }

    /**
     * Returns when a token is due after the start.
     *
     * @param number The number of the token.
     * @return The time after the start.
     */
    private Duration due(int number) {
        return firstToken.plus(tokenInterval.multipliedBy(number - first));
    }

    /**
     * Emits a number at a time.
     *
     * @param start The monotonic time of the start in nanoseconds.
     * @param after The time after the start.
     * @param number The number.
     * @return The number.
     */
    private Mono<Integer> delayed(long start, Duration after, int number) {
        long wait = start + after.toNanos() - time.getAsLong();
        return wait <= 0
                ? Mono.just(number)
                : Mono.delay(Duration.ofNanos(wait)).thenReturn(number);
    }
}
