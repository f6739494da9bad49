package org.tanagermoor.batch.store;

import java.util.List;
import org.tanagermoor.batch.proto.ProgressEntry;
import org.tanagermoor.policy.batch.ItemRange;
import org.tanagermoor.policy.batch.ItemSet;
import org.tanagermoor.policy.batch.LossCause;
import org.tanagermoor.policy.batch.Outcomes;
import org.tanagermoor.policy.batch.Progress;

/** Converts between domain values and protobuf messages. */
public final class Protos {

    private Protos() {}

    /** Converts a set of items to protobuf ranges. */
    public static List<org.tanagermoor.batch.proto.ItemRange> ranges(ItemSet items) {
        return items.ranges().stream()
                .map(range -> org.tanagermoor.batch.proto.ItemRange.newBuilder()
                        .setFrom(range.from())
                        .setTo(range.to())
                        .build())
                .toList();
    }

    /** Converts protobuf ranges to a set of items. */
    public static ItemSet items(List<org.tanagermoor.batch.proto.ItemRange> ranges) {
        return ItemSet.ofRanges(ranges.stream()
                .map(range -> ItemRange.of(range.getFrom(), range.getTo()))
                .toList());
    }

    /** Converts an entry of the progress to a protobuf message. */
    public static ProgressEntry entry(Progress entry) {
        ProgressEntry.Builder builder = ProgressEntry.newBuilder().addAllItems(ranges(entry.items()));
        Outcomes outcomes = entry.outcomes();
        builder.setCompleted(outcomes.completed()).setFailed(outcomes.failed()).setUnknown(outcomes.unknown());
        return switch (entry) {
            case Progress.Completed completed ->
                builder.setKind(ProgressEntry.Kind.RESULT)
                        .setObject(completed.object())
                        .build();
            case Progress.Abandoned abandoned ->
                builder.setKind(ProgressEntry.Kind.FAILED)
                        .setReason(abandoned.reason())
                        .build();
            case Progress.Lost lost -> builder.setKind(kind(lost.cause())).build();
        };
    }

    /** Converts a protobuf message to an entry of the progress. */
    public static Progress progress(ProgressEntry entry) {
        ItemSet items = items(entry.getItemsList());
        return switch (entry.getKind()) {
            case FAILED -> new Progress.Abandoned(items, entry.getReason());
            case TARGET_LOST -> new Progress.Lost(items, LossCause.TARGET);
            case WORKER_LOST -> new Progress.Lost(items, LossCause.WORKER);
            default -> completed(entry);
        };
    }

    /** Converts a protobuf message to an entry of items whose outcomes are in a result object. */
    public static Progress.Completed completed(ProgressEntry entry) {
        Outcomes outcomes = Outcomes.of(entry.getCompleted(), entry.getFailed(), entry.getUnknown());
        return new Progress.Completed(items(entry.getItemsList()), entry.getObject(), outcomes);
    }

    /** Returns the kind of entry that records a loss. */
    private static ProgressEntry.Kind kind(LossCause cause) {
        return switch (cause) {
            case TARGET -> ProgressEntry.Kind.TARGET_LOST;
            case WORKER -> ProgressEntry.Kind.WORKER_LOST;
        };
    }
}
