package org.tanagermoor.gateway.dispatch;

import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.gateway.proto.HeldPermit;
import org.tanagermoor.gateway.proto.PermitAnswer;
import org.tanagermoor.gateway.proto.PermitAsk;
import org.tanagermoor.gateway.proto.PermitReturn;
import org.tanagermoor.gateway.proto.PermitWork;

/** Converts asks, decisions and occupied places to and from the messages between instances. */
final class DispatchCodec {

    /** The number of thousandths in the unit fraction, since messages carry fractions in thousandths. */
    private static final double PERMILLE = 1_000;

    private DispatchCodec() {}

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
                .build();
    }

    /** Reads an ask of the holder that sent the message. */
    static Ask fromMessage(String holder, PermitAsk message) {
        return new Ask(
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
                        .build();
        };
    }

    /** Reads a refusal; every kind of answer other than a rate limit or a missing target counts as overload. */
    static PlacementDecision.Refused refusal(PermitAnswer message) {
        PlacementDecision.Reason reason =
                switch (message.getKind()) {
                    case RATE_LIMITED -> PlacementDecision.Reason.RATE_LIMITED;
                    case NO_TARGET -> PlacementDecision.Reason.NO_TARGET;
                    default -> PlacementDecision.Reason.OVERLOADED;
                };
        return new PlacementDecision.Refused(reason, message.getRetryAfterMillis());
    }

    /** Reads the fraction of the places that online requests leave free; empty if the message has none. */
    static OptionalDouble headroom(PermitAnswer message) {
        return message.getLeftPermille() == 0
                ? OptionalDouble.empty()
                : OptionalDouble.of(message.getLeftPermille() / PERMILLE);
    }

    static PermitReturn.Outcome toMessage(PlaceOutcome outcome) {
        return switch (outcome) {
            case UNUSED -> PermitReturn.Outcome.UNUSED;
            case SERVED -> PermitReturn.Outcome.SERVED;
            case UNREACHABLE -> PermitReturn.Outcome.UNREACHABLE;
            case FULL -> PermitReturn.Outcome.FULL;
            case FAILED -> PermitReturn.Outcome.FAILED;
        };
    }

    /** Reads an outcome; one that this version does not know counts as unused. */
    static PlaceOutcome fromMessage(PermitReturn.Outcome outcome) {
        return switch (outcome) {
            case SERVED -> PlaceOutcome.SERVED;
            case UNREACHABLE -> PlaceOutcome.UNREACHABLE;
            case FULL -> PlaceOutcome.FULL;
            case FAILED -> PlaceOutcome.FAILED;
            default -> PlaceOutcome.UNUSED;
        };
    }

    /** Writes a place in use; {@link #fromMessage(HeldPermit)} reads it. */
    static HeldPermit toMessage(Dispatcher.OccupiedPlace place) {
        return HeldPermit.newBuilder()
                .setPermit(place.permit())
                .setService(place.service())
                .setTarget(place.target())
                .setBatch(place.batch())
                .setOnTimeMillis((int) TimeUnit.NANOSECONDS.toMillis(place.slackNanos()))
                .setWork(toMessage(place.work()))
                .build();
    }

    /** Reads a place in use. */
    static Dispatcher.OccupiedPlace fromMessage(HeldPermit message) {
        return new Dispatcher.OccupiedPlace(
                message.getPermit(),
                message.getService(),
                message.getTarget(),
                message.getBatch(),
                TimeUnit.MILLISECONDS.toNanos(message.getOnTimeMillis()),
                fromMessage(message.getWork()));
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
        };
    }
}
