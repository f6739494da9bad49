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

/** The steps of a chunk that need the platform or the steward. Each ends with a message to the duty. */
final class ChunkSteps {

    /** The longest time for recording a report. */
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(2);

    /** The store. */
    private final JobStore store;

    /** The instances. */
    private final BatchPeers peers;

    /** The objects that were read last. */
    private final ObjectCache cache = new ObjectCache();

    /** The name of this instance. */
    private final String self;

    /** Takes the messages. */
    private final Consumer<WorkerMessage> messages;

    /**
     * Creates the steps.
     *
     * @param store The store.
     * @param peers The instances.
     * @param self The name of this instance.
     * @param messages Takes the messages.
     */
    ChunkSteps(JobStore store, BatchPeers peers, String self, Consumer<WorkerMessage> messages) {
        this.store = store;
        this.peers = peers;
        this.self = self;
        this.messages = messages;
    }

    /**
     * Does the step of the present stage.
     *
     * @param run The chunk, for which a call was begun.
     */
    void next(ChunkRun run) {
        switch (run.stage()) {
            case LOADING -> load(run);
            case READING_STARTS -> readStarts(run);
            case STORING -> put(run);
            case REPORTING -> report(run);
            default -> throw new IllegalStateException("The items run already");
        }
    }

    /**
     * Marks items as started.
     *
     * @param run The chunk, for which a call was begun.
     * @param items The items.
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

    /**
     * Keeps an object that was read.
     *
     * @param run The chunk.
     * @param content The content.
     */
    void cacheObject(ChunkRun run, byte[] content) {
        cache.put(cacheKey(run), content);
    }

    /**
     * Reads the items of a chunk.
     *
     * @param run The chunk.
     */
    private void load(ChunkRun run) {
        Optional<byte[]> cached = cache.get(cacheKey(run));
        Mono<Either<Failure, byte[]>> read = cached.isPresent()
                ? Mono.just(Either.right(cached.get()))
                : store.objects()
                        .get(run.key(), run.chunk().getUpload(), run.chunk().getObject());
        read.onErrorResume(error -> Mono.just(Either.left(internalError(error))))
                .subscribe(result -> messages.accept(new WorkerMessage.ItemsRead(run, result)));
    }

    /**
     * Reads the marks of a cell.
     *
     * @param run The chunk.
     */
    private void readStarts(ChunkRun run) {
        store.progress()
                .starts(run.key(), run.chunk().getUpload(), run.chunk().getCell())
                .onErrorResume(error -> Mono.just(Either.left(internalError(error))))
                .subscribe(result -> messages.accept(new WorkerMessage.StartsRead(run, result)));
    }

    /**
     * Puts the result object.
     *
     * @param run The chunk.
     */
    private void put(ChunkRun run) {
        store.objects()
                .put(run.key(), run.chunk().getUpload(), run.results().content())
                .onErrorResume(error -> Mono.just(Either.left(internalError(error))))
                .subscribe(result -> messages.accept(new WorkerMessage.Stored(run, result)));
    }

    /**
     * Reports a chunk to the present steward.
     *
     * @param run The chunk.
     */
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

    /**
     * Returns the name by which the object of a chunk is kept.
     *
     * @param run The chunk.
     * @return The name.
     */
    private static String cacheKey(ChunkRun run) {
        return run.chunk().getUpload() + "/" + run.chunk().getObject();
    }

    /**
     * Returns the failure of a step that met a defect.
     *
     * @param error The error.
     * @return The failure.
     */
    private static Failure internalError(Throwable error) {
        return Failure.unknown(Failure.Kind.INTERNAL, "batch.worker", Failure.LOCAL, String.valueOf(error));
    }
}
