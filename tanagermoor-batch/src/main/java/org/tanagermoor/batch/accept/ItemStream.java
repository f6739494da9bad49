package org.tanagermoor.batch.accept;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.tanagermoor.batch.item.Item;
import org.tanagermoor.batch.item.LineSplitter;
import org.tanagermoor.http.Digests;
import org.tanagermoor.kernel.failure.Failure;

/**
 * Validates the lines of a job and splits them into objects. Keeps at most one object, one line and the digests of
 * the identities in memory. Used by one thread at a time.
 */
final class ItemStream {

    /** The step that failures name. */
    private static final String STEP = "batch.accept";

    /** The maximum number of items of a job. */
    private static final int MAX_ITEMS = 350_000;

    /** The maximum length of a line in bytes. */
    private static final int MAX_LINE_BYTES = 256 * 1024;

    /** The size in bytes at which an object is complete. */
    private static final int FULL_OBJECT_BYTES = 256 * 1024;

    /** The identities of the items, or empty if they are not checked. */
    private final Optional<ItemIds> ids;

    private final LineSplitter splitter = new LineSplitter(MAX_LINE_BYTES);

    /** The content of the object that is not complete yet. */
    private final ByteArrayOutputStream object = new ByteArrayOutputStream();

    /** The digest of the service and of all items, by which a resend is recognized. */
    private final MessageDigest digest = Digests.newSha256();

    /** The number of lines, including empty ones. */
    private int lines;

    private int items;

    /** The number of items of the object that is not complete yet. */
    private int objectItems;

    /**
     * Creates a stream.
     *
     * @param service The name of the service.
     * @param ids The identities of the items, or empty if they are not checked.
     */
    private ItemStream(String service, Optional<ItemIds> ids) {
        this.ids = ids;
        digest.update((service + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Creates the stream of a new job, whose items must have different identities.
     *
     * @param service The name of the service.
     */
    static ItemStream ofNew(String service) {
        return new ItemStream(service, Optional.of(new ItemIds()));
    }

    /**
     * Creates the stream of a resend. It is only compared with the accepted job, which may have been accepted without
     * the check of identities.
     *
     * @param service The name of the service.
     */
    static ItemStream ofResend(String service) {
        return new ItemStream(service, Optional.empty());
    }

    /**
     * Adds the next bytes of the lines.
     *
     * @return The objects that are complete now, or a failure that names the line.
     */
    Either<Failure, List<ItemBlock>> add(byte[] bytes) {
        List<ItemBlock> filled = new ArrayList<>();
        for (byte[] line : splitter.add(bytes)) {
            Either<Failure, Boolean> added = line(line);
            if (added.isLeft()) {
                return Either.left(added.getLeft());
            }
            if (object.size() >= FULL_OBJECT_BYTES) {
                filled.add(takeObject());
            }
        }
        return splitter.exceeded() ? Either.left(tooLong()) : Either.right(filled);
    }

    /**
     * Ends the stream.
     *
     * @return The last object, if items remain, or a failure that names the line.
     */
    Either<Failure, List<ItemBlock>> finish() {
        Either<Failure, Boolean> added = line(splitter.finish());
        if (added.isLeft()) {
            return Either.left(added.getLeft());
        }
        if (items == 0) {
            return Either.left(Failure.notRun(Failure.Kind.INVALID, STEP, Failure.LOCAL, "the job has no items"));
        }
        return Either.right(objectItems == 0 ? List.of() : List.of(takeObject()));
    }

    /** Returns the number of items so far. */
    int items() {
        return items;
    }

    /**
     * Returns the digest of the service and the items. May be called only once, at the end.
     *
     * @return 64 lower-case hexadecimal digits.
     */
    String digest() {
        return HexFormat.of().formatHex(digest.digest());
    }

    /**
     * Validates a line and adds it to the object.
     *
     * @param line The line; an empty one is skipped.
     * @return Whether the line is an item, or a failure that names the line.
     */
    private Either<Failure, Boolean> line(byte[] line) {
        if (splitter.exceeded()) {
            return Either.left(tooLong());
        }
        lines++;
        if (line.length == 0) {
            return Either.right(false);
        }
        Either<String, Item> item = Item.parse(line);
        if (item.isLeft()) {
            String detail = "line " + lines + ": " + item.getLeft();
            return Either.left(Failure.notRun(Failure.Kind.INVALID, STEP, Failure.LOCAL, detail));
        }
        int earlierLine = ids.map(known -> known.add(item.get().id(), lines)).orElse(0);
        if (earlierLine > 0) {
            String detail = "line " + lines + ": has the same id as line " + earlierLine;
            return Either.left(Failure.notRun(Failure.Kind.INVALID, STEP, Failure.LOCAL, detail));
        }
        if (++items > MAX_ITEMS) {
            String detail = "a job has at most " + MAX_ITEMS + " items";
            return Either.left(Failure.notRun(Failure.Kind.TOO_LARGE, STEP, Failure.LOCAL, detail));
        }
        objectItems++;
        object.writeBytes(line);
        object.write('\n');
        digest.update(line);
        digest.update((byte) '\n');
        return Either.right(true);
    }

    /** Returns the object with all items since the last one, and starts an empty one. */
    private ItemBlock takeObject() {
        ItemBlock filled = new ItemBlock(object.toByteArray(), objectItems);
        object.reset();
        objectItems = 0;
        return filled;
    }

    /** Returns the failure of the next line, which exceeds {@link #MAX_LINE_BYTES}. */
    private Failure tooLong() {
        String detail = "line " + (lines + 1) + ": is longer than " + MAX_LINE_BYTES + " bytes";
        return Failure.notRun(Failure.Kind.INVALID, STEP, Failure.LOCAL, detail);
    }

    /**
     * An object that contains items.
     *
     * @param content The lines, each with a line feed.
     * @param items The number of items.
     */
    @SuppressWarnings("ArrayRecordComponent")
    record ItemBlock(byte[] content, int items) {}
}
