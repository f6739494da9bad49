package org.tanagermoor.batch.accept;

import io.vavr.control.Either;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.tanagermoor.batch.BatchEvent;
import org.tanagermoor.batch.proto.ItemObject;
import org.tanagermoor.batch.proto.JobRow;
import org.tanagermoor.batch.proto.Manifest;
import org.tanagermoor.batch.store.AsyncResults;
import org.tanagermoor.batch.store.JobKey;
import org.tanagermoor.batch.store.JobRecord;
import org.tanagermoor.batch.store.JobStore;
import org.tanagermoor.batch.store.Upload;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Execution;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.failure.FailureException;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.membership.Membership;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.util.retry.Retry;

/**
 * Accepts jobs. A job is durable before it is acknowledged, and a resend returns the job that was accepted before.
 */
public final class JobIntake {

    /** The step that failures name. */
    private static final String STEP = "batch.accept";

    private static final int MAX_PUT_RETRIES = 3;

    /** The delay before a put is repeated for the first time. */
    private static final Duration INITIAL_PUT_BACKOFF = Duration.ofMillis(100);

    /** The length of the identity of an upload in bytes. */
    private static final int UPLOAD_ID_BYTES = 12;

    private final JobStore store;

    private final Membership membership;

    private final EventLog events;

    private final TimeSource time;

    private final Limits limits;

    /** The source of the identities of uploads. */
    private final SecureRandom random = new SecureRandom();

    /**
     * Creates an intake.
     *
     * @param store The rows and objects of the jobs.
     * @param membership The standing of this instance.
     * @param events Receives the events of the intake.
     * @param time The source of the current time.
     * @param limits The size of chunks and the maximum duration of an upload.
     */
    public JobIntake(JobStore store, Membership membership, EventLog events, TimeSource time, Limits limits) {
        this.store = store;
        this.membership = membership;
        this.events = events;
        this.time = time;
        this.limits = limits;
    }

    /**
     * Accepts a job, or compares the items with those of the job that has the key already.
     *
     * @param request The key and the properties of the job.
     * @param body The items as lines of JSON.
     * @return The job, which may have been accepted before, or a failure.
     */
    public Mono<Either<Failure, JobRecord>> accept(JobRequest request, Flux<byte[]> body) {
        if (!standing()) {
            return AsyncResults.left(noStanding());
        }
        Mono<Either<Failure, JobRecord>> accepted = AsyncResults.then(
                store.read(request.key()),
                found -> found.isPresent()
                        ? compare(request, body, found.get())
                        : AsyncResults.then(openUpload(request.key()), upload -> upload(request, body, upload)));
        return accepted.onErrorResume(error -> Mono.just(Either.left(failure(error))));
    }

    /**
     * Starts an upload with a random identity.
     *
     * @return The upload, or a failure.
     */
    private Mono<Either<Failure, Upload>> openUpload(JobKey key) {
        byte[] id = new byte[UPLOAD_ID_BYTES];
        random.nextBytes(id);
        return store.startUpload(key, HexFormat.of().formatHex(id), time.wallMillis())
                .map(result -> result.mapLeft(failure -> failure.withExecution(Execution.NOT_RUN)));
    }

    /**
     * Uploads the items and creates the job.
     *
     * @param body The items as lines of JSON.
     * @return The job, or a failure.
     */
    private Mono<Either<Failure, JobRecord>> upload(JobRequest request, Flux<byte[]> body, Upload upload) {
        return Mono.defer(() -> {
                    ItemStream stream = ItemStream.ofNew(request.service().value());
                    List<ItemObject> objects = new ArrayList<>();
                    return splitIntoBlocks(stream, body)
                            .concatMap(object -> put(upload, object), 1)
                            .doOnNext(objects::add)
                            .then()
                            .timeout(
                                    limits.upload(), Mono.error(uploadTimedOut().asException()))
                            .then(Mono.defer(() -> commit(request, upload, stream, objects)));
                })
                .onErrorResume(error -> Mono.just(Either.left(failure(error))))
                .flatMap(result -> recordOrDiscard(upload, result));
    }

    /**
     * Reads a resend to its end and compares it with the job that has the key.
     *
     * @param body The items as lines of JSON.
     * @return The job, or a failure of kind {@link Failure.Kind#CONFLICT}.
     */
    private static Mono<Either<Failure, JobRecord>> compare(JobRequest request, Flux<byte[]> body, JobRecord job) {
        return Mono.defer(() -> {
            ItemStream stream = ItemStream.ofResend(request.service().value());
            return splitIntoBlocks(stream, body).then(Mono.fromSupplier(() -> checkSameItems(job, stream.digest())));
        });
    }

    /**
     * Splits the items into objects.
     *
     * @param stream Validates and splits the items.
     * @param body The items as lines of JSON.
     * @return The objects in order.
     */
    private static Flux<ItemStream.ItemBlock> splitIntoBlocks(ItemStream stream, Flux<byte[]> body) {
        return body.concatMapIterable(bytes -> orThrow(stream.add(bytes)), 1)
                .concatWith(Flux.defer(() -> Flux.fromIterable(orThrow(stream.finish()))));
    }

    /**
     * Puts an object that contains items.
     *
     * @return The entry of the manifest.
     */
    private Mono<ItemObject> put(Upload upload, ItemStream.ItemBlock object) {
        return putWithRetries(upload, object.content())
                .map(digest -> ItemObject.newBuilder()
                        .setDigest(digest)
                        .setItems(object.items())
                        .setBytes(object.content().length)
                        .build());
    }

    /**
     * Puts an object, and repeats that up to {@link #MAX_PUT_RETRIES} times if it fails.
     *
     * @return The SHA-256 of the content.
     */
    private Mono<String> putWithRetries(Upload upload, byte[] content) {
        return Mono.defer(() -> store.objects().put(upload.key(), upload.id(), content))
                .map(JobIntake::orThrow)
                .retryWhen(Retry.backoff(MAX_PUT_RETRIES, INITIAL_PUT_BACKOFF)
                        .filter(FailureException.class::isInstance)
                        .onRetryExhaustedThrow((spec, signal) -> signal.failure()));
    }

    /**
     * Puts the manifest and creates the job, unless this instance has lost its standing or the key of the caller was
     * withdrawn during the upload.
     *
     * @param stream The stream, which has read all items.
     * @param objects The entries of the manifest.
     * @return The job that has the key, or a failure.
     */
    private Mono<Either<Failure, JobRecord>> commit(
            JobRequest request, Upload upload, ItemStream stream, List<ItemObject> objects) {
        String digest = stream.digest();
        Manifest manifest = Manifest.newBuilder().addAllObjects(objects).build();
        return putWithRetries(upload, manifest.toByteArray()).flatMap(name -> {
            if (!standing()) {
                return AsyncResults.left(noStanding());
            }
            if (!request.authorized().getAsBoolean()) {
                return AsyncResults.left(Failure.notRun(
                        Failure.Kind.UNAUTHENTICATED, STEP, Failure.LOCAL, "the key was withdrawn during the upload"));
            }
            JobRow row = request.row(time.wallMillis()).toBuilder()
                    .setUpload(upload.id())
                    .setDigest(digest)
                    .setManifest(name)
                    .setItems(stream.items())
                    .setChunkItems(limits.chunkItems())
                    .build();
            return store.accept(upload, row).map(result -> result.flatMap(job -> checkCommitted(job, digest)));
        });
    }

    /**
     * Returns the result of the commit.
     *
     * @param job The job that has the key, or empty if the upload was swept because it took too long.
     * @param digest The digest of the items.
     * @return The job, or a failure.
     */
    private static Either<Failure, JobRecord> checkCommitted(Optional<JobRecord> job, String digest) {
        return job.map(found -> checkSameItems(found, digest)).orElseGet(() -> Either.left(uploadTimedOut()));
    }

    /**
     * Logs that a job was accepted, or discards the upload if it certainly did not become a job.
     *
     * @param result The result of the upload.
     * @return The same result.
     */
    private Mono<Either<Failure, JobRecord>> recordOrDiscard(Upload upload, Either<Failure, JobRecord> result) {
        boolean accepted = result.isRight() && result.get().row().getUpload().equals(upload.id());
        if (accepted) {
            JobRow row = result.get().row();
            events.record(BatchEvent.JOB_ACCEPTED, "team", row.getTeam(), "job", row.getKey(), "items", row.getItems());
        } else if (result.isRight() || result.getLeft().execution() == Execution.NOT_RUN) {
            store.discard(upload).subscribe();
        }
        return Mono.just(result);
    }

    /**
     * Checks that a job that has the key has the same items.
     *
     * @param digest The digest of the items that were sent.
     * @return The job, or a failure of kind {@link Failure.Kind#CONFLICT}.
     */
    private static Either<Failure, JobRecord> checkSameItems(JobRecord job, String digest) {
        return job.row().getDigest().equals(digest)
                ? Either.right(job)
                : Either.left(Failure.notRun(
                        Failure.Kind.CONFLICT,
                        STEP,
                        Failure.LOCAL,
                        "a job with this key and other items already exists"));
    }

    /** Returns whether this instance has the standing to accept jobs now. */
    private boolean standing() {
        return membership.standing(time.nanos()).serves();
    }

    private static Failure noStanding() {
        return Failure.notRun(Failure.Kind.NO_STANDING, STEP, Failure.LOCAL, "this instance takes no new work now");
    }

    /** Returns the failure of an upload that took too long. */
    private static Failure uploadTimedOut() {
        return Failure.notRun(Failure.Kind.TIMEOUT, STEP, Failure.LOCAL, "the upload took too long");
    }

    /** Returns a result, or throws its failure as an exception that ends the stream. */
    private static <T> T orThrow(Either<Failure, T> result) {
        return result.getOrElseThrow(Failure::asException);
    }

    /**
     * Converts an exception of the stream into a failure. No job was accepted, because the commit returns its
     * failures as values.
     */
    private static Failure failure(Throwable error) {
        return error instanceof FailureException failureException
                ? failureException.failure().withExecution(Execution.NOT_RUN)
                : Failure.notRun(Failure.Kind.CORRUPT, STEP, Failure.LOCAL, "the items could not be read: " + error);
    }

    /**
     * The limits of an intake.
     *
     * @param chunkItems The maximum number of items of a chunk.
     * @param upload The maximum duration of an upload, which must be well below the age at which uploads are
     *     swept.
     */
    public record Limits(int chunkItems, Duration upload) {}
}
