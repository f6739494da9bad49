package org.tanagermoor.batch.store;

import io.vavr.control.Either;
import java.util.List;
import org.tanagermoor.batch.proto.Manifest;
import org.tanagermoor.batch.proto.ResultObject;
import org.tanagermoor.kernel.failure.Failure;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** The objects of jobs: items, manifests and results. Each is named by its upload and its content. */
public final class JobObjects {

    /** The maximum number of objects that are deleted at the same time. */
    private static final int DELETE_CONCURRENCY = 4;

    private final MeteredPlatform platform;

    JobObjects(MeteredPlatform platform) {
        this.platform = platform;
    }

    /**
     * Puts an object under the name that follows from its content, so that a repeated put changes nothing.
     *
     * @param upload The identity of the upload.
     * @return The SHA-256 of the content, or a failure.
     */
    public Mono<Either<Failure, String>> put(JobKey key, String upload, byte[] content) {
        return platform.put(StorageNames.objects(key, upload), content);
    }

    /**
     * Gets an object and verifies its content.
     *
     * @param upload The identity of the upload.
     * @param digest The SHA-256 of the content.
     * @return The content, or a failure.
     */
    public Mono<Either<Failure, byte[]>> get(JobKey key, String upload, String digest) {
        return platform.get(StorageNames.objects(key, upload), digest);
    }

    /**
     * Gets the layout of a job from its manifest.
     *
     * @return The layout, or a failure.
     */
    public Mono<Either<Failure, JobLayout>> layout(JobRecord job) {
        return get(job.key(), job.row().getUpload(), job.row().getManifest())
                .map(result -> result.flatMap(content -> MeteredPlatform.parse(Manifest.parser(), content))
                        .map(manifest -> JobLayout.of(manifest, job.row().getChunkItems())));
    }

    /**
     * Gets a result object.
     *
     * @param digest The SHA-256 of the object.
     * @return The results, or a failure.
     */
    public Mono<Either<Failure, ResultObject>> results(JobRecord job, String digest) {
        return get(job.key(), job.row().getUpload(), digest)
                .map(result -> result.flatMap(content -> MeteredPlatform.parse(ResultObject.parser(), content)));
    }

    /**
     * Deletes an object.
     *
     * @param upload The identity of the upload.
     * @param digest The SHA-256 of the content.
     * @return Whether the object was present, or a failure.
     */
    public Mono<Either<Failure, Boolean>> delete(JobKey key, String upload, String digest) {
        return platform.delete(StorageNames.objects(key, upload) + digest);
    }

    /**
     * Deletes all objects of an upload.
     *
     * @param upload The identity of the upload.
     * @return The number of deleted objects, or a failure.
     */
    public Mono<Either<Failure, Integer>> deleteAll(JobKey key, String upload) {
        return deletePage(StorageNames.objects(key, upload), 0);
    }

    /**
     * Deletes the first page of objects with a prefix, and repeats that until none is left.
     *
     * @param before The number of objects that were deleted before.
     * @return The total number of deleted objects, or a failure.
     */
    private Mono<Either<Failure, Integer>> deletePage(String prefix, int before) {
        return AsyncResults.then(
                platform.list(prefix, ""),
                names -> names.isEmpty()
                        ? AsyncResults.right(before)
                        : AsyncResults.then(delete(names), done -> deletePage(prefix, before + names.size())));
    }

    /**
     * Deletes objects, up to {@link #DELETE_CONCURRENCY} at the same time.
     *
     * @return Always {@code true}, or the first failure.
     */
    private Mono<Either<Failure, Boolean>> delete(List<String> names) {
        return Flux.fromIterable(names)
                .flatMap(platform::delete, DELETE_CONCURRENCY)
                .filter(Either::isLeft)
                .next()
                .defaultIfEmpty(Either.right(true));
    }
}
