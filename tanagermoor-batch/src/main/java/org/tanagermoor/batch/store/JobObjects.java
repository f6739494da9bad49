package org.tanagermoor.batch.store;

import io.vavr.control.Either;
import java.util.List;
import org.tanagermoor.batch.proto.Manifest;
import org.tanagermoor.batch.proto.ResultObject;
import org.tanagermoor.kernel.failure.Failure;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** The objects of jobs: items, manifests and results. Each is named by the upload and its content. */
public final class JobObjects {

    /** The objects that are deleted at once. */
    private static final int DELETE_CONCURRENCY = 4;

    /** The platform. */
    private final MeteredPlatform platform;

    /**
     * Creates the objects.
     *
     * @param platform The platform.
     */
    JobObjects(MeteredPlatform platform) {
        this.platform = platform;
    }

    /**
     * Puts an object.
     *
     * @param key The key of the job.
     * @param upload The identity of the upload.
     * @param content The content.
     * @return The SHA-256 of the content, or a failure.
     */
    public Mono<Either<Failure, String>> put(JobKey key, String upload, byte[] content) {
        return platform.put(StorageNames.objects(key, upload), content);
    }

    /**
     * Gets an object.
     *
     * @param key The key of the job.
     * @param upload The identity of the upload.
     * @param digest The SHA-256 of the content.
     * @return The content, or a failure.
     */
    public Mono<Either<Failure, byte[]>> get(JobKey key, String upload, String digest) {
        return platform.get(StorageNames.objects(key, upload), digest);
    }

    /**
     * Gets the layout of a job.
     *
     * @param job The job.
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
     * @param job The job.
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
     * @param key The key of the job.
     * @param upload The identity of the upload.
     * @param digest The SHA-256 of the content.
     * @return Whether it was present, or a failure.
     */
    public Mono<Either<Failure, Boolean>> delete(JobKey key, String upload, String digest) {
        return platform.delete(StorageNames.objects(key, upload) + digest);
    }

    /**
     * Deletes all objects of an upload.
     *
     * @param key The key of the job.
     * @param upload The identity of the upload.
     * @return The number of objects, or a failure.
     */
    public Mono<Either<Failure, Integer>> deleteAll(JobKey key, String upload) {
        return deletePage(StorageNames.objects(key, upload), 0);
    }

    /**
     * Deletes the first objects with a prefix, and then the next.
     *
     * @param prefix The prefix.
     * @param before The number of objects that were deleted before.
     * @return The number of objects, or a failure.
     */
    private Mono<Either<Failure, Integer>> deletePage(String prefix, int before) {
        return AsyncResults.then(
                platform.list(prefix, ""),
                names -> names.isEmpty()
                        ? AsyncResults.right(before)
                        : AsyncResults.then(delete(names), done -> deletePage(prefix, before + names.size())));
    }

    /**
     * Deletes objects.
     *
     * @param names The names.
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
