package org.tanagermoor.cli.explain;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * The log lines of all processes that concern one request, item or job.
 *
 * @param id The identity of the request, item or job.
 * @param lines The lines about it and, for an item, about its job, in causal order.
 * @param stateChanges The state changes that the processes involved logged in the same period, in causal order.
 */
public record RequestLog(String id, List<LogLine> lines, List<LogLine> stateChanges) {

    /** How long before the first line about the request state changes are included, in milliseconds. */
    private static final long LEAD_TIME_MILLIS = 2_000;

    /** The fields that identify the request, item or job that a line is about. */
    private static final List<String> SUBJECT_FIELDS = List.of("request", "job");

    /** The beginning of the detail of a refusal, which names the part that is held back. */
    private static final Pattern HELD_PART = Pattern.compile("(?:part )?(\\S+)(?: of the prompt)?: ");

    /** The events that change what a process knows of targets, other instances, the store or the configuration. */
    private static final Set<String> STATE_CHANGE_EVENTS = Set.of(
            "CONFIGURATION_ADOPTED",
            "DISPATCHER_CHANGED",
            "DISPATCHER_SILENT",
            "DOMAIN_CHANGED",
            "HISTORY_LOST",
            "LEAVING",
            "MEMBER_CHANGED",
            "READY",
            "STOPPED",
            "STORE_LOST",
            "STORE_REGAINED",
            "TABLE_RELAYED",
            "TARGET_CHANGED");

    /** Selects the lines about a request, an item or a job; the result has no lines if there are none. */
    public static RequestLog of(String id, Collection<LogLine> allLines) {
        List<LogLine> directLines =
                allLines.stream().filter(line -> isAbout(line, id)).toList();
        Set<String> jobs = directLines.stream()
                .filter(line -> line.field("request").equals(id))
                .map(line -> line.field("job"))
                .filter(job -> !job.isEmpty())
                .collect(Collectors.toSet());
        Set<String> parts = directLines.stream()
                .filter(line -> line.event().equals("ITEM_HELD_BACK"))
                .map(RequestLog::heldPart)
                .collect(Collectors.toSet());
        List<LogLine> lines = allLines.stream()
                .filter(line -> isAbout(line, id)
                        || jobs.stream().anyMatch(job -> isAboutJobItself(line, job))
                        || isDecisionOn(line, parts))
                .sorted(LogLine.ORDER)
                .toList();
        if (lines.isEmpty()) {
            return new RequestLog(id, lines, List.of());
        }
        Set<String> processes = directLines.stream().map(LogLine::process).collect(Collectors.toSet());
        long first = lines.get(0).millis() - LEAD_TIME_MILLIS;
        long last = lines.get(lines.size() - 1).millis();
        List<LogLine> stateChanges = allLines.stream()
                .filter(line -> processes.contains(line.process()) && STATE_CHANGE_EVENTS.contains(line.event()))
                .filter(line -> line.millis() >= first && line.millis() <= last)
                .sorted(LogLine.ORDER)
                .toList();
        return new RequestLog(id, lines, stateChanges);
    }

    private static boolean isAbout(LogLine line, String id) {
        return SUBJECT_FIELDS.stream().anyMatch(subject -> line.field(subject).equals(id));
    }

    /** Returns the part, or the fingerprint of the request, for which a line says that an item is held back. */
    static String heldPart(LogLine heldBack) {
        String detail = heldBack.field("detail");
        Matcher part = HELD_PART.matcher(detail);
        return part.lookingAt() ? part.group(1) : detail;
    }

    /**
     * Returns whether a line is of the dispatcher that decided on one of the parts, or began or ended a trial of it.
     * The lines of the other instances, which learn of the decision, say the same.
     */
    private static boolean isDecisionOn(LogLine line, Set<String> parts) {
        boolean decision = line.field("source").equals("decision")
                || line.event().equals("TRIAL_STARTED")
                || line.event().equals("TRIAL_ENDED");
        return decision && List.of(line.field("part").split(",")).stream().anyMatch(parts::contains);
    }

    /** Returns whether a line is about a job and not about one of its items. */
    private static boolean isAboutJobItself(LogLine line, String job) {
        String request = line.field("request");
        return request.equals(job) || (line.field("job").equals(job) && request.isEmpty());
    }

    /** Returns the lines of an event that are about the request, item or job itself. */
    public List<LogLine> of(String event) {
        return lines.stream().filter(line -> line.event().equals(event)).toList();
    }
}
