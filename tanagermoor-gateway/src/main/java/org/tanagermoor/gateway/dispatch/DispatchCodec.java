package org.tanagermoor.gateway.dispatch;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.gateway.prompt.PromptCodec;
import org.tanagermoor.gateway.proto.CrashReport;
import org.tanagermoor.gateway.proto.HeldPermit;
import org.tanagermoor.gateway.proto.PermitAnswer;
import org.tanagermoor.gateway.proto.PermitAsk;
import org.tanagermoor.gateway.proto.PermitReturn;
import org.tanagermoor.gateway.proto.PermitWork;
import org.tanagermoor.gateway.proto.ShareLoan;
import org.tanagermoor.gateway.proto.TargetLimit;
import org.tanagermoor.gateway.proto.TargetLoad;
import org.tanagermoor.policy.quarantine.Crash;
import org.tanagermoor.policy.share.Loan;

/** Converts asks, decisions and occupied places to and from the messages between instances. */
final class DispatchCodec {

    /** The number of thousandths in the unit fraction, since messages carry fractions in thousandths. */
    private static final double PERMILLE = 1_000;

    private DispatchCodec() {}

    /** Writes a loan. */
    static ShareLoan toMessage(Loan loan) {
        ShareLoan.Builder message = ShareLoan.newBuilder()
                .setStamp(loan.stamp())
                .setLeaseMillis((int) TimeUnit.NANOSECONDS.toMillis(loan.leaseNanos()))
                .setFresh(loan.fresh())
                .setKnown(loan.known());
        if (loan.entrustedAgoNanos() != Loan.NEVER) {
            // One for the encoding, and one since the time must not become shorter.
            message.setEntrustedAgoMillis(TimeUnit.NANOSECONDS.toMillis(loan.entrustedAgoNanos()) + 2);
        }
        return message.build();
    }

    /** Reads a loan. */
    static Loan fromMessage(ShareLoan message) {
        return new Loan(
                message.getStamp(),
                TimeUnit.MILLISECONDS.toNanos(message.getLeaseMillis()),
                message.getFresh(),
                message.getEntrustedAgoMillis() == 0
                        ? Loan.NEVER
                        : TimeUnit.MILLISECONDS.toNanos(message.getEntrustedAgoMillis() - 1),
                message.getKnown());
    }

    /** Writes an ask; its holder is the sender of the message. */
    static PermitAsk toMessage(Ask ask) {
        return PermitAsk.newBuilder()
                .setPermit(ask.permit())
                .setService(ask.service())
                .setTeam(ask.team())
                .setDomain(ask.domain())
                .setPromptKey(ask.promptKey())
                .setWaitMillis((int) TimeUnit.NANOSECONDS.toMillis(ask.waitNanos()))
                .setOnTimeMillis((int) TimeUnit.NANOSECONDS.toMillis(ask.onTimeNanos()))
                .setWork(toMessage(ask.work()))
                .setBatch(ask.batch())
                .setReturning(ask.returning())
                .addAllExcluded(ask.excluded())
                .setPrompt(PromptCodec.toMessage(ask.prompt()))
                .setRoute(ask.traits().route())
                .setTokens(ask.traits().tokens())
                .setPriority(rankPlusOne(ask.traits().priority()))
                .build();
    }

    /** Reads an ask of the holder that sent the message. */
    static Ask fromMessage(String holder, PermitAsk message) {
        Ask ask = new Ask(
                holder,
                message.getPermit(),
                message.getService(),
                message.getTeam(),
                message.getDomain(),
                message.getPromptKey(),
                TimeUnit.MILLISECONDS.toNanos(message.getWaitMillis()),
                TimeUnit.MILLISECONDS.toNanos(message.getOnTimeMillis()),
                fromMessage(message.getWork()),
                message.getBatch(),
                message.getReturning(),
                Set.copyOf(message.getExcludedList()));
        RequestTraits traits = new RequestTraits(
                message.getRoute(),
                Math.max(0, message.getTokens()),
                message.getPriority() > 0 ? OptionalInt.of(message.getPriority() - 1) : OptionalInt.empty());
        return ask.withPrompt(PromptCodec.fromMessage(message.getPrompt())).withTraits(traits);
    }

    /** Writes a decision, and the fraction of the places of the service that online requests leave free. */
    static PermitAnswer toMessage(PlacementDecision decision, double headroom) {
        PermitAnswer.Builder answer = PermitAnswer.newBuilder().setLeftPermille((int) Math.round(PERMILLE * headroom));
        return switch (decision) {
            case PlacementDecision.Granted granted ->
                answer.setKind(PermitAnswer.Kind.GRANTED)
                        .setTarget(granted.target())
                        .build();
            case PlacementDecision.Refused refused ->
                answer.setKind(kind(refused.reason()))
                        .setRetryAfterMillis((int) Math.min(Integer.MAX_VALUE, refused.retryAfterMillis()))
                        .setDetail(refused.detail())
                        .build();
        };
    }

    /** Reads a refusal; every kind of answer other than a rate limit or a missing target counts as overload. */
    static PlacementDecision.Refused refusal(PermitAnswer message) {
        PlacementDecision.Reason reason =
                switch (message.getKind()) {
                    case RATE_LIMITED -> PlacementDecision.Reason.RATE_LIMITED;
                    case NO_TARGET -> PlacementDecision.Reason.NO_TARGET;
                    case QUARANTINED -> PlacementDecision.Reason.QUARANTINED;
                    default -> PlacementDecision.Reason.OVERLOADED;
                };
        return new PlacementDecision.Refused(reason, message.getRetryAfterMillis(), message.getDetail());
    }

    /** Reads the fraction of the places that online requests leave free; empty if the message has none. */
    static OptionalDouble headroom(PermitAnswer message) {
        return message.getLeftPermille() == 0
                ? OptionalDouble.empty()
                : OptionalDouble.of(message.getLeftPermille() / PERMILLE);
    }

    /** Writes how the use of a place ended. */
    static PermitReturn toMessage(long permit, PlaceEnd end, long now) {
        RunAnswer answer = end.answer();
        PermitReturn.Builder message = PermitReturn.newBuilder()
                .setPermit(permit)
                .setOutcome(toMessage(end.outcome()))
                .setFailedAnswer(answer.failedAnswer())
                .setFirstEventMillis(millisAtLeastOne(answer.firstEventNanos()))
                .setEvents((int) Math.min(Integer.MAX_VALUE, answer.events()))
                .setRunMillis(millisAtLeastOne(answer.runNanos()));
        answer.load()
                .ifPresent(report -> message.setLoad(TargetLoad.newBuilder()
                        .setRunning(report.load().running())
                        .setWaiting(report.load().waiting())
                        .setSlots(report.load().slots())
                        .setWorkPercent(report.load().workPercent())
                        .setAgeMillis((int) TimeUnit.NANOSECONDS.toMillis(Math.max(0, now - report.receivedAt())))));
        return message.build();
    }

    /** Reads how the use of a place ended. Fields that an earlier version does not write are unknown. */
    static PlaceEnd fromMessage(PermitReturn message, long now) {
        Optional<LoadReport> load = Optional.empty();
        if (message.hasLoad()) {
            TargetLoad stated = message.getLoad();
            load = Optional.of(new LoadReport(
                    new org.tanagermoor.gateway.forward.TargetLoad(
                            stated.getRunning(), stated.getWaiting(), stated.getSlots(), stated.getWorkPercent()),
                    now - TimeUnit.MILLISECONDS.toNanos(stated.getAgeMillis())));
        }
        return new PlaceEnd(
                fromMessage(message.getOutcome()),
                new RunAnswer(
                        message.getFailedAnswer(),
                        TimeUnit.MILLISECONDS.toNanos(message.getFirstEventMillis()),
                        Integer.toUnsignedLong(message.getEvents()),
                        TimeUnit.MILLISECONDS.toNanos(message.getRunMillis()),
                        load));
    }

    /** Converts a time so that a known one does not become 0, which stands for an unknown time. */
    private static int millisAtLeastOne(long nanos) {
        return nanos <= 0 ? 0 : (int) Math.max(1, Math.min(Integer.MAX_VALUE, TimeUnit.NANOSECONDS.toMillis(nanos)));
    }

    private static int rankPlusOne(OptionalInt priority) {
        return priority.isEmpty() ? 0 : (int) Math.min(Integer.MAX_VALUE, priority.getAsInt() + 1L);
    }

    static PermitReturn.Outcome toMessage(PlaceOutcome outcome) {
        return switch (outcome) {
            case UNUSED -> PermitReturn.Outcome.UNUSED;
            case SERVED -> PermitReturn.Outcome.SERVED;
            case UNREACHABLE -> PermitReturn.Outcome.UNREACHABLE;
            case FULL -> PermitReturn.Outcome.FULL;
            case FAILED -> PermitReturn.Outcome.FAILED;
            case CRASHED -> PermitReturn.Outcome.CRASHED;
            case BROKEN_OFF -> PermitReturn.Outcome.BROKEN_OFF;
            case ABANDONED -> PermitReturn.Outcome.ABANDONED;
        };
    }

    /** Reads an outcome; one that this version does not know counts as unused. */
    static PlaceOutcome fromMessage(PermitReturn.Outcome outcome) {
        return switch (outcome) {
            case SERVED -> PlaceOutcome.SERVED;
            case UNREACHABLE -> PlaceOutcome.UNREACHABLE;
            case FULL -> PlaceOutcome.FULL;
            case FAILED -> PlaceOutcome.FAILED;
            case CRASHED -> PlaceOutcome.CRASHED;
            case BROKEN_OFF -> PlaceOutcome.BROKEN_OFF;
            case ABANDONED -> PlaceOutcome.ABANDONED;
            default -> PlaceOutcome.UNUSED;
        };
    }

    /** Writes a place in use; {@link #fromMessage(HeldPermit)} reads it. */
    static HeldPermit toMessage(OccupiedPlace place) {
        return HeldPermit.newBuilder()
                .setPermit(place.permit())
                .setService(place.service())
                .setTarget(place.target())
                .setBatch(place.batch())
                .setOnTimeMillis((int) TimeUnit.NANOSECONDS.toMillis(place.slackNanos()))
                .setWork(toMessage(place.work()))
                .setPrompt(PromptCodec.toMessage(place.prompt()))
                .setAgeMillis((int) TimeUnit.NANOSECONDS.toMillis(place.heldNanos()))
                .setRoute(place.route())
                .build();
    }

    /** Reads a place in use. */
    static OccupiedPlace fromMessage(HeldPermit message) {
        OccupiedPlace place = new OccupiedPlace(
                message.getPermit(),
                message.getService(),
                message.getTarget(),
                message.getBatch(),
                TimeUnit.MILLISECONDS.toNanos(message.getOnTimeMillis()),
                fromMessage(message.getWork()));
        return place.withRun(
                        PromptCodec.fromMessage(message.getPrompt()),
                        TimeUnit.MILLISECONDS.toNanos(message.getAgeMillis()))
                .withRoute(message.getRoute());
    }

    /** Writes a run that broke off; its holder is the sender of the message. */
    static CrashReport toMessage(long permit, Crash crash, long now) {
        return CrashReport.newBuilder()
                .setPermit(permit)
                .setTarget(crash.target())
                .setPrompt(PromptCodec.toMessage(crash.prompt()))
                .setSentAgeMillis((int) TimeUnit.NANOSECONDS.toMillis(now - crash.sentAt()))
                .setBrokeAgeMillis((int) TimeUnit.NANOSECONDS.toMillis(now - crash.brokeAt()))
                .build();
    }

    /** Reads a run that broke off. */
    static Crash fromMessage(String holder, CrashReport message, long now) {
        return new Crash(
                run(holder, message.getPermit()),
                holder,
                message.getTarget(),
                PromptCodec.fromMessage(message.getPrompt()),
                now - TimeUnit.MILLISECONDS.toNanos(message.getSentAgeMillis()),
                now - TimeUnit.MILLISECONDS.toNanos(message.getBrokeAgeMillis()));
    }

    /** Writes what an answer of a target said about its request limit. */
    static TargetLimit toMessage(LimitReport report, long now) {
        TargetLimit.Builder message = TargetLimit.newBuilder()
                .setId(report.target())
                .setStartedMillis(report.startedAtMillis())
                .setAgeMillis((int) Math.min(
                        Integer.MAX_VALUE, TimeUnit.NANOSECONDS.toMillis(Math.max(0, now - report.heardAt()))));
        report.perSecond().ifPresent(message::setPerSecond);
        report.sent()
                .forEach(sentAt ->
                        message.addSentAgesMillis((int) TimeUnit.NANOSECONDS.toMillis(Math.max(0, now - sentAt))));
        return message.build();
    }

    /** Reads what an answer of a target said about its request limit; an impossible limit counts as none. */
    static LimitReport fromMessage(TargetLimit message, long now) {
        double perSecond = message.getPerSecond();
        boolean named = message.hasPerSecond() && perSecond >= 0 && Double.isFinite(perSecond);
        return new LimitReport(
                message.getId(),
                message.getStartedMillis(),
                named ? OptionalDouble.of(perSecond) : OptionalDouble.empty(),
                now - TimeUnit.MILLISECONDS.toNanos(Integer.toUnsignedLong(message.getAgeMillis())),
                message.getSentAgesMillisList().stream()
                        .map(age -> now - TimeUnit.MILLISECONDS.toNanos(Integer.toUnsignedLong(age)))
                        .toList());
    }

    /** Returns the identity of the run of a permit, unique in the fleet. */
    static String run(String holder, long permit) {
        return holder + "/" + permit;
    }

    /** Writes the remaining work, with the done fraction in thousandths. */
    private static PermitWork toMessage(Work work) {
        return PermitWork.newBuilder()
                .setMillis((int) TimeUnit.NANOSECONDS.toMillis(work.nanos()))
                .setDonePermille((int) Math.round(PERMILLE * (1 - work.remaining())))
                .build();
    }

    /** Reads the remaining work. */
    private static Work fromMessage(PermitWork message) {
        return Work.of(TimeUnit.MILLISECONDS.toNanos(message.getMillis()), 1 - message.getDonePermille() / PERMILLE);
    }

    private static PermitAnswer.Kind kind(PlacementDecision.Reason reason) {
        return switch (reason) {
            case RATE_LIMITED -> PermitAnswer.Kind.RATE_LIMITED;
            case OVERLOADED -> PermitAnswer.Kind.OVERLOADED;
            case NO_TARGET -> PermitAnswer.Kind.NO_TARGET;
            case QUARANTINED -> PermitAnswer.Kind.QUARANTINED;
        };
    }
}
