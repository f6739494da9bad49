package org.tanagermoor.batch.store;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.batch.BatchMetrics;
import org.tanagermoor.batch.proto.JobRow;
import org.tanagermoor.batch.proto.StartRow;
import org.tanagermoor.policy.batch.ItemSet;
import org.tanagermoor.policy.batch.Outcomes;
import org.tanagermoor.policy.batch.Progress;
import org.tanagermoor.store.object.ObjectStore;
import org.tanagermoor.store.table.RowKey;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.store.table.Transaction;

class JobStoreTest {

    private static final JobKey KEY = JobKey.of("alder", "job");

    private final ObjectStore objects = ObjectStore.InMemory.of();

    private final BatchMetrics metrics = BatchMetrics.of(new MetricRegistry());

    private final TableService tables = TableService.InMemory.of();

    private final JobStore store = JobStore.of(tables, objects, metrics);

    private Upload upload;

    private JobRecord job;

    private static Progress entry(int number) {
        return new Progress.Completed(ItemSet.of(number, number + 1), "object-" + number, Outcomes.of(1, 0, 0));
    }

    @BeforeEach
    void accept() {
        upload = store.startUpload(KEY, "first", 1_000).block().get();
        JobRow row = JobRow.newBuilder()
                .setTeam("alder")
                .setKey("job")
                .setUpload("first")
                .setItems(500)
                .setState(JobRow.State.ACTIVE)
                .build();
        job = store.accept(upload, row).block().get().orElseThrow();
    }

    private void change(String change) {
        JobRow.Builder row = job.row().toBuilder().setEndedMillis(5_000);
        switch (change) {
            case "takeover" -> store.replace(job, row.setEpoch(9).build()).block();
            case "cancel" ->
                store.end(job, row.setState(JobRow.State.CANCELLED).build()).block();
            case "done" ->
                store.end(job, row.setState(JobRow.State.DONE).build()).block();
            default -> assertThat(change, is("nothing"));
        }
    }

    @ParameterizedTest
    @CsvSource({"nothing, true", "takeover, false", "cancel, false", "done, false"})
    void recordsAndMarksOnlyWhileTheRowOfTheJobIsUnchanged(String change, boolean written) {
        change(change);
        Optional<ProgressLog> log = store.progress()
                .record(job, ProgressLog.EMPTY, List.of(entry(0)), Optional.empty())
                .block()
                .get();
        ProgressStore.Starts starts =
                store.progress().starts(KEY, "first", 0).block().get();
        Optional<ProgressStore.Starts> marked = store.progress()
                .mark(KEY, "first", 0, job.version(), starts, StartRow.getDefaultInstance())
                .block()
                .get();
        assertThat(log.isPresent(), is(written));
        assertThat(marked.isPresent(), is(written));
    }

    @ParameterizedTest
    @CsvSource({"cancel", "done"})
    void endsAJobOnce(String change) {
        change(change);
        JobRow other = job.row().toBuilder()
                .setState(JobRow.State.DONE)
                .setEndedMillis(9)
                .build();
        assertThat(store.end(job, other).block().get().isPresent(), is(false));
        assertThat(store.active("", 10).block().get().entries(), hasSize(0));
        assertThat(store.ended(10).block().get(), hasSize(1));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 63, 64, 65, 128, 300})
    void keepsProgressInFewRowsAndInOrder(int count) {
        ProgressLog log = ProgressLog.EMPTY;
        List<Progress> all = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            all.add(entry(number));
            log = store.progress()
                    .record(job, log, List.of(entry(number)), Optional.empty())
                    .block()
                    .get()
                    .orElseThrow();
        }
        ProgressLog read = store.progress().read(job).block().get();
        assertThat(read.entries(), is(all));
        assertThat(read.part(), is((count - 1) / 64));
        assertThat(read.version(), is(log.version()));
    }

    /** Progress beyond the rows of one read was lost when another steward took the job over. */
    @ParameterizedTest
    @ValueSource(ints = {499, 500, 501, 1_000, 1_001})
    void readsProgressOfManyRows(int parts) {
        ProgressLog log = ProgressLog.EMPTY;
        for (int part = 0; part < parts; part++) {
            int first = part * 64;
            log = store.progress()
                    .record(
                            job,
                            log,
                            IntStream.range(first, first + 64)
                                    .mapToObj(JobStoreTest::entry)
                                    .toList(),
                            Optional.empty())
                    .block()
                    .get()
                    .orElseThrow();
        }
        ProgressLog read = store.progress().read(job).block().get();
        assertThat(read.entries(), hasSize(parts * 64));
        assertThat(read.part(), is(parts - 1));
        assertThat(read.version(), is(log.version()));
    }

    /** A page of the index with an entry that cannot be read counted as the last one, and later jobs were not found. */
    @Test
    void readsOnAfterAnUnreadableEntry() {
        tables.commit(Transaction.EMPTY.withPut(RowKey.of("batch-active", "!"), new byte[] {1}))
                .block();
        JobStore.IndexPage page = store.active("", 1).block().get();
        assertThat(page.entries(), hasSize(0));
        assertThat(page.next(), is(Optional.of("!")));
        assertThat(store.active("!", 1).block().get().entries(), hasSize(1));
    }

    @Test
    void sweepsAnUploadOnlyBeforeItIsAccepted() {
        Upload late = store.startUpload(JobKey.of("alder", "late"), "second", 1_000)
                .block()
                .get();
        byte[] content = "items".getBytes(StandardCharsets.UTF_8);
        store.objects().put(late.key(), late.id(), content).block();
        assertThat(store.discard(upload).block().get(), is(false));
        assertThat(store.discard(late).block().get(), is(true));
        assertThat(objects.list("batch/", "", 10).block().get(), hasSize(0));
        JobRow row = job.row().toBuilder().setKey("late").setUpload("second").build();
        assertThat(store.accept(late, row).block().get().isPresent(), is(false));
    }

    @Test
    void deletesEverythingOfAnEndedJob() {
        store.objects().put(KEY, "first", new byte[] {1}).block();
        store.progress()
                .record(job, ProgressLog.EMPTY, List.of(entry(0)), Optional.empty())
                .block();
        assertThat(store.ended(10).block().get(), hasSize(0));
        change("done");
        store.ended(10)
                .block()
                .get()
                .forEach(entry -> store.deleteEndedJob(entry).block());
        assertThat(store.read(KEY).block().get().isPresent(), is(false));
        assertThat(objects.list("batch/", "", 10).block().get(), hasSize(0));
        assertThat(store.progress().read(job).block().get(), is(ProgressLog.EMPTY));
        assertThat(store.ended(10).block().get(), hasSize(0));
    }
}
