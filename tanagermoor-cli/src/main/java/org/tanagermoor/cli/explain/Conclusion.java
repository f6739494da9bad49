package org.tanagermoor.cli.explain;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Describes in sentences how a request, an item or a job ended, and what decided the outcome. */
public final class Conclusion {

    private Conclusion() {}

    /** Returns the sentences that describe the outcome, the most important first. */
    public static List<String> of(RequestLog log) {
        List<String> result = new ArrayList<>();
        boolean item = log.lines().stream()
                .anyMatch(line -> line.field("request").equals(log.id())
                        && !line.field("job").isEmpty());
        if (item) {
            describeItem(log, result);
        } else if (isJob(log)) {
            describeJob(log, result);
        } else {
            describeRequest(log, result);
        }
        return List.copyOf(result);
    }

    /** Returns whether the lines are about a job, although the log of the instance that accepted it may be missing. */
    private static boolean isJob(RequestLog log) {
        return !log.of("JOB_ACCEPTED").isEmpty()
                || !log.of("JOB_REFUSED").isEmpty()
                || log.lines().stream().anyMatch(line -> line.field("job").equals(log.id()));
    }

    /** Describes an online request from its last event, then its failed attempts and its wait. */
    private static void describeRequest(RequestLog log, List<String> result) {
        LogLine last = log.lines().get(log.lines().size() - 1);
        switch (last.event()) {
            case "REQUEST_REFUSED" ->
                result.add("Refused as " + last.field("kind") + " after " + last.field("waited-ms") + " ms: "
                        + refusalReason(last.field("detail")) + ".");
            case "REQUEST_ANSWERED" ->
                result.add("Answered by " + last.field("target") + " after " + last.field("took-ms") + " ms, attempt "
                        + last.field("attempts") + "." + delivery(last));
            case "CALLER_LEFT" ->
                result.add("The caller left before the answer was whole; the request was "
                        + ("true".equals(last.field("sent")) ? "at " + last.field("target") : "not sent") + ".");
            case "EXCHANGE_FAILED" ->
                result.add("Broke off at " + last.field("target") + ": " + last.field("detail")
                        + (mayHaveRun(last) ? "; it may have run there." : "; it did not run there."));
            default -> result.add("No end is logged: the process ended, its log is missing, or the line was dropped.");
        }
        log.of("EXCHANGE_FAILED").stream()
                .filter(line -> !line.equals(last))
                .forEach(line -> result.add("Before that it failed at " + line.field("target") + ": "
                        + line.field("detail") + (mayHaveRun(line) ? " (may have run)." : " (did not run).")));
        log.of("REQUEST_PLACED").stream()
                .findFirst()
                .ifPresent(line -> result.add("It waited " + line.field("waited-ms") + " ms for a place."));
    }

    /** Describes what proves the answer; empty in logs that do not tell. */
    private static String delivery(LogLine answered) {
        if (answered.field("runs").isEmpty()) {
            return "";
        }
        String end = "true".equals(answered.field("framed")) ? "its framing" : "the close of the connection";
        String connection = "true".equals(answered.field("reused")) ? "reused" : "new";
        return " Runs (target, status, signature, events): " + answered.field("runs") + ". Its end was told by " + end
                + ", over a " + connection + " connection on which " + answered.field("skipped-answers")
                + " answers to other requests were skipped.";
    }

    private static void describeItem(RequestLog log, List<String> result) {
        log.of("ITEM_ABANDONED").forEach(line -> result.add("Given up: " + line.field("reason") + "."));
        List<LogLine> ends = log.of("ITEM_ENDED");
        if (ends.isEmpty()) {
            result.add("It has no result in these logs.");
        }
        for (LogLine end : ends) {
            long remainingMillis = end.fields().path("due-in-ms").asLong();
            result.add(("true".equals(end.field("completed")) ? "Completed " : "Ended without a result ")
                    + Math.abs(remainingMillis) + " ms " + (remainingMillis < 0 ? "late" : "before it was due")
                    + ". At its last owner it waited "
                    + end.field("waited-ms") + " ms for places, ran " + end.field("ran-ms")
                    + " ms, and nobody asked for it for " + end.field("idle-ms") + " ms.");
        }
        Map<String, Long> runEnds = log.of("ITEM_RUN_ENDED").stream()
                .collect(Collectors.groupingBy(line -> line.field("end"), TreeMap::new, Collectors.counting()));
        if (!runEnds.isEmpty()) {
            result.add("Its runs ended as " + runEnds + ".");
        }
        describeHold(log, result);
        describeWait(log, result);
        describeOwners(log, result);
    }

    /** Describes for which parts the item was held back, and the trials of them. */
    private static void describeHold(RequestLog log, List<String> result) {
        log.of("ITEM_HELD_BACK").stream()
                .collect(Collectors.groupingBy(RequestLog::heldPart, TreeMap::new, Collectors.counting()))
                .forEach((part, count) -> result.add("Held back for " + part + ", times: " + count + "."));
        List<LogLine> ends = log.of("TRIAL_ENDED");
        for (LogLine start : log.of("TRIAL_STARTED")) {
            String end = ends.stream()
                    .filter(line -> line.field("holder").equals(start.field("holder"))
                            && line.field("permit").equals(start.field("permit")))
                    .findFirst()
                    .map(line -> "ended as " + line.field("outcome") + " after " + line.field("took-ms") + " ms.")
                    .orElse("has no end in these logs.");
            result.add("A trial of " + start.field("part") + ", "
                    + (isOwnTrial(log, start) ? "by this item" : "by another request") + " of " + start.field("holder")
                    + " at " + start.field("target") + ", " + end);
        }
        log.of("PART_RELEASED")
                .forEach(line -> result.add(line.field("part") + " was released: " + line.field("evidence") + "."));
    }

    /** Returns whether the item itself was placed with the permit of a trial. */
    private static boolean isOwnTrial(RequestLog log, LogLine trial) {
        return log.of("REQUEST_PLACED").stream()
                .anyMatch(line -> line.field("request").equals(log.id())
                        && line.field("permit").equals(trial.field("permit"))
                        && trial.field("holder").startsWith(line.process() + "~"));
    }

    /** Describes the last long wait of an item, unless it ran or ended afterwards. */
    private static void describeWait(RequestLog log, List<String> result) {
        log.lines().stream()
                .filter(line -> line.field("request").equals(log.id()))
                .reduce((previous, next) -> next)
                .filter(line -> line.event().equals("ITEM_WAITING"))
                .ifPresent(line -> result.add("At the end it had waited " + line.field("waited-ms")
                        + " ms without a run at " + line.process() + ", which ran its job: " + line.field("state")
                        + ", asks: " + line.field("asks") + ", the last refusal: "
                        + (line.field("refusal").isEmpty() ? "none" : line.field("refusal")) + ", excluded targets: "
                        + (line.field("excluded").isEmpty() ? "none" : line.field("excluded")) + "."));
    }

    private static void describeJob(RequestLog log, List<String> result) {
        log.of("JOB_REFUSED")
                .forEach(line -> result.add("Refused as " + line.field("kind") + ": " + line.field("detail") + "."));
        if (!log.of("JOB_DELETED").isEmpty()) {
            result.add("Deleted after its retention.");
        }
        log.of("RESULTS_RECORDED").stream()
                .reduce((previous, next) -> next)
                .ifPresent(line ->
                        result.add(line.field("recorded") + " of " + line.field("total") + " results are recorded."));
        describeOwners(log, result);
    }

    /** Describes which instances took the job over, and counts its failed writes. */
    private static void describeOwners(RequestLog log, List<String> result) {
        log.of("JOB_TAKEN_OVER")
                .forEach(line -> result.add(line.process() + " took its job over"
                        + (line.field("from").isEmpty() ? "." : " from " + line.field("from") + ".")));
        log.of("JOB_NOT_RUN")
                .forEach(line ->
                        result.add(line.process() + " should run its job and does not: " + line.field("reason") + "."));
        int failed = log.of("JOB_WRITE_FAILED").size();
        if (failed > 0) {
            result.add("Writes of its job that failed: " + failed + ".");
        }
    }

    private static boolean mayHaveRun(LogLine line) {
        return "true".equals(line.field("may-have-run"));
    }

    /** Returns the cause of a refusal in words, or the detail itself if it is not a known cause. */
    private static String refusalReason(String detail) {
        return switch (detail) {
            case "RATE_LIMITED" -> "the team is above its rate, over all instances";
            case "OVERLOADED" -> "the queue was longer than the request could wait";
            case "NO_TARGET" -> "no target of the service is usable";
            default -> detail;
        };
    }
}
