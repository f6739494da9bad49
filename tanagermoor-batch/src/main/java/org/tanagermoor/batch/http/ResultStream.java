package org.tanagermoor.batch.http;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.tanagermoor.batch.item.Item;
import org.tanagermoor.batch.item.LineSplitter;
import org.tanagermoor.batch.proto.ItemResult;
import org.tanagermoor.batch.store.JobLayout;
import org.tanagermoor.batch.store.JobRecord;
import org.tanagermoor.batch.store.JobStore;
import org.tanagermoor.batch.store.ProgressLog;
import org.tanagermoor.http.Json;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.batch.Progress;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Streams the recorded results of a job in the order of its items. Only the results of a few cells are in memory at a
 * time.
 */
public final class ResultStream {

    private final JobStore store;

    private final JobRecord job;

    private final JobLayout layout;

    /**
     * Creates the stream of one job.
     *
     * @param store Reads and writes jobs and their results.
     * @param job The job whose results are read.
     * @param layout The layout, which maps items to cells and objects.
     */
    public ResultStream(JobStore store, JobRecord job, JobLayout layout) {
        this.store = store;
        this.job = job;
        this.layout = layout;
    }

    /**
     * Returns the results as lines of JSON.
     *
     * @param log The recorded progress of the job.
     * @return The lines, those of one cell at a time; fails with a {@link
     *     org.tanagermoor.kernel.failure.FailureException}.
     */
    public Flux<byte[]> lines(ProgressLog log) {
        Map<Integer, List<Progress>> cells = new TreeMap<>();
        for (Progress entry : log.entries()) {
            if (!(entry instanceof Progress.Lost)) {
                cells.computeIfAbsent(layout.cell(entry.items().first()), cell -> new ArrayList<>())
                        .add(entry);
            }
        }
        return Flux.fromIterable(cells.values()).concatMap(this::cell, 1);
    }

    /**
     * Returns the lines of a cell, ordered by the index of the item.
     *
     * @param entries The progress entries of the cell.
     */
    private Mono<byte[]> cell(List<Progress> entries) {
        return Flux.fromIterable(entries)
                .concatMap(this::results, 1)
                .collectList()
                .map(parts -> {
                    List<ItemResult> results = new ArrayList<>();
                    parts.forEach(results::addAll);
                    results.sort(Comparator.comparingInt(ItemResult::getIndex));
                    ByteArrayOutputStream lines = new ByteArrayOutputStream();
                    results.forEach(result -> lines.writeBytes(line(result)));
                    return lines.toByteArray();
                });
    }

    /** Reads the results that a progress entry records. */
    private Mono<List<ItemResult>> results(Progress entry) {
        return switch (entry) {
            case Progress.Completed completed ->
                store.objects()
                        .results(job, completed.object())
                        .map(result -> orThrow(result).getResultsList());
            case Progress.Abandoned abandoned -> abandonedResults(abandoned);
            case Progress.Lost lost -> Mono.just(List.of());
        };
    }

    /**
     * Returns failed results for items that were abandoned. Their identities are read from the object with the items.
     */
    private Mono<List<ItemResult>> abandonedResults(Progress.Abandoned entry) {
        JobLayout.Part object = layout.object(entry.items().first());
        return store.objects()
                .get(job.key(), job.row().getUpload(), object.digest())
                .map(result -> {
                    List<byte[]> lines = new LineSplitter(Integer.MAX_VALUE).add(orThrow(result));
                    return entry.items()
                            .indexes()
                            .mapToObj(index -> ItemResult.newBuilder()
                                    .setIndex(index)
                                    .setId(Item.parse(lines.get(index - object.from()))
                                            .map(Item::id)
                                            .getOrElse(""))
                                    .setOutcome(ItemResult.Outcome.FAILED)
                                    .setReason(entry.reason())
                                    .build())
                            .toList();
                });
    }

    /**
     * Formats a result.
     *
     * @return A line of JSON with its line break.
     */
    private static byte[] line(ItemResult result) {
        String outcome = result.getOutcome().name().toLowerCase(Locale.ROOT);
        StringBuilder line = new StringBuilder("{\"id\":");
        line.append(quoted(result.getId())).append(",\"outcome\":").append(quoted(outcome));
        line.append(",\"body\":")
                .append(result.getBody().isEmpty() ? "null" : result.getBody().toStringUtf8());
        if (!result.getReason().isEmpty()) {
            line.append(",\"reason\":").append(quoted(result.getReason()));
        }
        return line.append("}\n").toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Formats a text as a JSON string. */
    private static String quoted(String text) {
        return new String(Json.write(text), StandardCharsets.UTF_8);
    }

    /**
     * Returns the value of a result, or throws its failure, which fails the surrounding stream.
     *
     * @param <T> The type of the result.
     */
    private static <T> T orThrow(Either<Failure, T> result) {
        return result.getOrElseThrow(Failure::asException);
    }
}
