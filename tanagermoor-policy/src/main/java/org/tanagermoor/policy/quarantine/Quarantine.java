package org.tanagermoor.policy.quarantine;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tanagermoor.policy.prompt.Prompt;

/**
 * The parts of prompts that are held back because they crash targets. The marks of a last part and of the content of a
 * request are held back alike. One request with such a part is let through from time to time, ever more rarely; when it
 * is answered, the part is released. Not thread-safe.
 */
public final class Quarantine {

    /**
     * The time until the first trial of a part, in nanoseconds: a sound part is held back no longer than this and one
     * answer take. If the part crashes targets, the first two trials are the fourth and the fifth crash.
     */
    static final long FIRST_PERIOD_NANOS = Duration.ofSeconds(3).toNanos();

    /** The time between the first two trials, in nanoseconds, for a first one that a fault of its target ended. */
    private static final long SECOND_PERIOD_NANOS = Duration.ofSeconds(10).toNanos();

    /**
     * The time between the second trial and the third, in nanoseconds; it doubles with each further one. It is also the
     * time until the first trial of the content of a request, which may crash three targets and not five.
     */
    static final long LONG_PERIOD_NANOS = Duration.ofSeconds(30).toNanos();

    /** The time until the next trial after one that no target ran, in nanoseconds. */
    static final long REPEATED_TRIAL_NANOS = Duration.ofSeconds(1).toNanos();

    /** The number of trials before the periods are long: as many crashes as a part may cause beyond the third. */
    private static final int EARLY_TRIALS = 2;

    /** The maximum number of doublings. */
    private static final int MAX_DOUBLINGS = 5;

    /** The maximum number of parts; the one that ends first is dropped. */
    static final int MAX_ENTRIES = 128;

    private final Map<String, QuarantineEntry> entries = new LinkedHashMap<>();

    private Quarantine() {}

    /** Returns a quarantine without parts. */
    public static Quarantine of() {
        return new Quarantine();
    }

    /** Returns all records, those of released parts included. */
    public Collection<QuarantineEntry> entries() {
        return List.copyOf(entries.values());
    }

    /** Returns whether nothing is known of any part. */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /** Returns whether a part is held back. */
    public boolean holds(String part) {
        QuarantineEntry entry = entries.get(part);
        return entry != null && entry.held();
    }

    /** Returns what is known of a part of a prompt that is held back; empty if none is. */
    public Optional<QuarantineEntry> heldBy(Prompt prompt) {
        return entries.isEmpty()
                ? Optional.empty()
                : prompt.marks().stream().filter(this::holds).findFirst().map(entries::get);
    }

    /**
     * Decides on a request by its parts. If several are held back, the one whose trial is last decides.
     *
     * @param prompt The parts of its prompt.
     * @param now The current monotonic time in nanoseconds.
     * @return The decision.
     */
    public QuarantineDecision decide(Prompt prompt, long now) {
        if (entries.isEmpty()) {
            return new QuarantineDecision.Admitted();
        }
        Optional<QuarantineEntry> last = prompt.marks().stream()
                .filter(this::holds)
                .map(entries::get)
                .max(Comparator.comparingLong(entry -> entry.until() - now));
        if (last.isEmpty()) {
            return new QuarantineDecision.Admitted();
        }
        long remaining = last.get().until() - now;
        return remaining > 0
                ? new QuarantineDecision.Refused(last.get(), remaining)
                : new QuarantineDecision.TrialDue(last.get());
    }

    /**
     * Holds a part back. Of the crashes that it caused before, those beyond the third count as trials, so that the
     * fleet suffers no more crashes when the decision is late.
     *
     * @param part The identity of the part.
     * @param crashes The number of targets that crashed.
     * @param evidence Why, for people.
     * @param now The current monotonic time in nanoseconds.
     * @return The new record of the part.
     */
    public QuarantineEntry hold(String part, int crashes, String evidence, long now) {
        boolean content = part.startsWith(Prompt.CONTENT_PREFIX);
        int trials = content ? 0 : Math.max(0, Math.min(crashes - CrashEvidence.MIN_CRASHES, EARLY_TRIALS));
        long first = content ? LONG_PERIOD_NANOS : FIRST_PERIOD_NANOS;
        return put(new QuarantineEntry(part, nextRevision(part), true, trials, now + first, now, evidence));
    }

    /**
     * Lets one request with the parts through, and holds them back for longer than before unless it is answered.
     *
     * @param prompt The parts of its prompt.
     * @param now The current monotonic time in nanoseconds.
     * @return The new records of the parts that are held back.
     */
    public List<QuarantineEntry> beginTrial(Prompt prompt, long now) {
        if (entries.isEmpty()) {
            return List.of();
        }
        return prompt.marks().stream()
                .filter(this::holds)
                .distinct()
                .map(entries::get)
                .map(entry -> put(new QuarantineEntry(
                        entry.part(),
                        entry.revision() + 1,
                        true,
                        entry.trials() + 1,
                        now + periodAfter(entry.part(), entry.trials() + 1),
                        now,
                        entry.evidence())))
                .toList();
    }

    /**
     * Takes a trial back that no target ran, so that nothing was learnt from it. A part on which there was another
     * decision meanwhile is left as it is.
     *
     * @param trial The records that {@link #beginTrial} returned for it.
     * @param now The current monotonic time in nanoseconds.
     * @return The new records of the parts, whose next trial is due soon.
     */
    public List<QuarantineEntry> withdrawTrial(Collection<QuarantineEntry> trial, long now) {
        return trial.stream()
                .filter(entry -> entry.equals(entries.get(entry.part())))
                .map(entry -> put(new QuarantineEntry(
                        entry.part(),
                        entry.revision() + 1,
                        true,
                        entry.trials() - 1,
                        now + REPEATED_TRIAL_NANOS,
                        now,
                        entry.evidence())))
                .toList();
    }

    /**
     * Releases the parts of an answered request, unless it was sent before the last decision on them.
     *
     * @param parts The marks of its prompt.
     * @param sentAt The monotonic time at which the request was sent, in nanoseconds.
     * @param now The current monotonic time in nanoseconds.
     * @return The new records of the released parts.
     */
    public List<QuarantineEntry> answered(List<String> parts, long sentAt, long now) {
        if (entries.isEmpty()) {
            return List.of();
        }
        return parts.stream()
                .filter(this::holds)
                .filter(part -> {
                    QuarantineEntry entry = entries.get(part);
                    return entry != null && sentAt - entry.changedAt() >= 0;
                })
                .toList()
                .stream()
                .flatMap(part -> release(part, "a request with it was answered", now).stream())
                .toList();
    }

    /**
     * Releases a part.
     *
     * @param part The identity of the part.
     * @param reason Why, for people.
     * @param now The current monotonic time in nanoseconds.
     * @return The new record of the part; empty if it is not held back.
     */
    public Optional<QuarantineEntry> release(String part, String reason, long now) {
        return holds(part)
                ? Optional.of(put(new QuarantineEntry(part, nextRevision(part), false, 0, now, now, reason)))
                : Optional.empty();
    }

    /**
     * Adopts the record of another instance if it is newer than the own one and has not aged. Of two equally new ones,
     * that which holds the part back is valid.
     *
     * @param other The record.
     * @param now The current monotonic time in nanoseconds.
     * @return Whether it was adopted.
     */
    public boolean merge(QuarantineEntry other, long now) {
        QuarantineEntry own = entries.get(other.part());
        boolean newer = own == null
                || other.revision() > own.revision()
                || (other.revision() == own.revision() && other.held() && !own.held());
        boolean adopted = newer && !other.aged(now);
        if (adopted) {
            put(other);
        }
        return adopted;
    }

    /**
     * Forgets the parts whose records have aged.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The identities of the forgotten parts.
     */
    public List<String> expire(long now) {
        List<String> expired = entries.values().stream()
                .filter(entry -> entry.aged(now))
                .map(QuarantineEntry::part)
                .toList();
        expired.forEach(entries::remove);
        return expired;
    }

    /** Returns the time from a trial of a mark to the next one, in nanoseconds, by the number of its trials so far. */
    private static long periodAfter(String mark, int trials) {
        if (mark.startsWith(Prompt.CONTENT_PREFIX)) {
            return LONG_PERIOD_NANOS << Math.min(trials, MAX_DOUBLINGS);
        }
        return trials < EARLY_TRIALS
                ? SECOND_PERIOD_NANOS
                : LONG_PERIOD_NANOS << Math.min(trials - EARLY_TRIALS, MAX_DOUBLINGS);
    }

    private long nextRevision(String part) {
        QuarantineEntry entry = entries.get(part);
        return entry == null ? 1 : entry.revision() + 1;
    }

    private long remaining(String part, long now) {
        QuarantineEntry entry = entries.get(part);
        return entry == null ? 0 : entry.until() - now;
    }

    private QuarantineEntry put(QuarantineEntry entry) {
        entries.put(entry.part(), entry);
        if (entries.size() > MAX_ENTRIES) {
            entries.values().stream()
                    .map(QuarantineEntry::part)
                    .filter(part -> !part.equals(entry.part()))
                    .min(Comparator.comparingLong(part -> remaining(part, entry.changedAt())))
                    .ifPresent(entries::remove);
        }
        return entry;
    }
}
