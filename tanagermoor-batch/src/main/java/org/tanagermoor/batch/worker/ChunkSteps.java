package org.tanagermoor.batch.worker;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.tanagermoor.batch.peer.BatchPeers;
import org.tanagermoor.batch.proto.BatchRequest;
import org.tanagermoor.batch.proto.LentChunk;
import org.tanagermoor.batch.proto.Report;
import org.tanagermoor.batch.store.JobStore;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.fleet.Member;
import reactor.core.publisher.Mono;

/** Runs the steps of a chunk that call the platform or the steward. Each step ends with a message to the duty. */
final class ChunkSteps {

    /** Timeout of a report to the steward, which records it before it answers. */
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(2);

    private final JobStore store;

    private final BatchPeers peers;

    /** Item objects that were used last. */
    private final ObjectCache cache = new ObjectCache();

    /** Name of this instance, as it is stated in reports. */
    private final String self;

    /** Receives the results of the steps. */
    private final Consumer<WorkerMessage> messages;

    /**
     * Creates the steps for the chunks of one worker.
     *
     * @param store Reads and writes jobs and their results.
     * @param peers Sends requests to the other instances.
     * @param self The name of this instance.
     * @param messages Receives the results of the steps.
     */
    ChunkSteps(JobStore store, BatchPeers peers, String self, Consumer<WorkerMessage> messages) {
        this.store = store;
        this.peers = peers;
        this.self = self;
        this.messages = messages;
    }

    /**
     * Runs the step of the current stage.
     *
     * @param run The chunk, for which {@link ChunkRun#begin} has returned true.
     */
    void next(ChunkRun run) {
        switch (run.stage()) {
            case LOADING -> load(run);
            case READING_STARTS -> readStarts(run);
            case STORING -> put(run);
            case REPORTING -> report(run);
            default -> throw new IllegalStateException("the items are already running");
        }
    }

    /**
     * Marks items as started in the store, before they may run.
     *
     * @param run The chunk, for which {@link ChunkRun#begin} has returned true.
     */
    void mark(ChunkRun run, List<Integer> items) {
        LentChunk chunk = run.chunk();
        Mono.defer(() -> store.progress()
                        .mark(
                                run.key(),
                                chunk.getUpload(),
                                chunk.getCell(),
                                chunk.getJobVersion(),
                                run.starts(),
                                StartMarks.withItems(
                                        run.starts().row(), chunk.getLease().getLease(), items)))
                .onErrorResume(error -> Mono.just(Either.left(internalError(error))))
                .subscribe(result -> messages.accept(new WorkerMessage.Marked(run, items, result)));
    }

    /** Caches the item object of a chunk. */
    void cacheObject(ChunkRun run, byte[] content) {
        cache.put(cacheKey(run), content);
    }

    /** Reads the items of a chunk from the cache or the object store. */
    private void load(ChunkRun run) {
        Optional<byte[]> cached = cache.get(cacheKey(run));
        Mono<Either<Failure, byte[]>> read = cached.isPresent()
                ? Mono.just(Either.right(cached.get()))
                : store.objects()
                        .get(run.key(), run.chunk().getUpload(), run.chunk().getObject());
        read.onErrorResume(error -> Mono.just(Either.left(internalError(error))))
                .subscribe(result -> messages.accept(new WorkerMessage.ItemsRead(run, result)));
    }

    /** Reads the start marks of the cell to which a chunk belongs. */
    private void readStarts(ChunkRun run) {
        store.progress()
                .starts(run.key(), run.chunk().getUpload(), run.chunk().getCell())
                .onErrorResume(error -> Mono.just(Either.left(internalError(error))))
                .subscribe(result -> messages.accept(new WorkerMessage.StartsRead(run, result)));
    }

    /** Writes the result object of a chunk to the object store. */
    private void put(ChunkRun run) {
        store.objects()
                .put(run.key(), run.chunk().getUpload(), run.results().content())
                .onErrorResume(error -> Mono.just(Either.left(internalError(error))))
                .subscribe(result -> messages.accept(new WorkerMessage.Stored(run, result)));
    }

    /** Reports a chunk to the current steward of the job, or to the one that lent it if none is known. */
    private void report(ChunkRun run) {
        Member steward = peers.steward(run.key()).orElse(run.steward());
        Report report = Report.newBuilder()
                .setLease(run.chunk().getLease())
                .setTeam(run.chunk().getTeam())
                .setKey(run.chunk().getKey())
                .setWorker(self)
                .setResult(run.results().entry())
                .addAllLost(run.results().lost())
                .build();
        peers.call(steward, BatchRequest.newBuilder().setReport(report).build(), REPORT_TIMEOUT)
                .onErrorResume(error -> Mono.just(Either.left(internalError(error))))
                .subscribe(result -> messages.accept(new WorkerMessage.Reported(run, result)));
    }

    /** Returns the key of a chunk's item object in the cache. */
    private static String cacheKey(ChunkRun run) {
        return run.chunk().getUpload() + "/" + run.chunk().getObject();
    }

    /** Returns the failure of a step that ended with an unexpected error. */
    private static Failure internalError(Throwable error) {
        return Failure.unknown(Failure.Kind.INTERNAL, "batch.worker", Failure.LOCAL, String.valueOf(error));
    }
}
