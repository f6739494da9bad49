package org.tanagermoor.target.lease;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.util.List;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.target.PermitGrant;
import org.tanagermoor.policy.target.PermitReport;
import org.tanagermoor.policy.target.PermitReports;
import org.tanagermoor.target.proto.PermitRecall;
import org.tanagermoor.target.proto.PermitRequest;
import org.tanagermoor.target.proto.PermitResponse;
import org.tanagermoor.target.proto.TargetGrant;
import org.tanagermoor.target.proto.TargetMessage;
import org.tanagermoor.target.proto.TargetReport;

/** Converts the messages about permits between the types of the policy and their protobuf encoding. */
final class TargetCodec {

    private TargetCodec() {}

    /**
     * Parses a message of another instance.
     *
     * @param peer The peer that sent the bytes; it is named in the failure.
     * @return The message, or a failure of kind {@link Failure.Kind#CORRUPT}.
     */
    static Either<Failure, TargetMessage> read(byte[] bytes, String peer) {
        try {
            return Either.right(TargetMessage.parseFrom(bytes));
        } catch (InvalidProtocolBufferException exception) {
            return Either.left(corrupt(peer));
        }
    }

    /**
     * Parses the response of a steward.
     *
     * @param peer The steward; it is named in the failure.
     * @return The response, or a failure of kind {@link Failure.Kind#CORRUPT}.
     */
    static Either<Failure, PermitResponse> readResponse(byte[] bytes, String peer) {
        try {
            return Either.right(PermitResponse.parseFrom(bytes));
        } catch (InvalidProtocolBufferException exception) {
            return Either.left(corrupt(peer));
        }
    }

    /** Encodes a report of demand to a steward. */
    static byte[] write(PermitReports permitReports) {
        PermitRequest.Builder request = PermitRequest.newBuilder().setSequence(permitReports.sequence());
        permitReports.reports().forEach(report -> request.addReports(report(report)));
        return TargetMessage.newBuilder().setPermits(request).build().toByteArray();
    }

    /** Decodes a report of demand to a steward. */
    static PermitReports permitReports(PermitRequest request) {
        return new PermitReports(
                request.getSequence(),
                request.getReportsList().stream().map(TargetCodec::report).toList());
    }

    /**
     * Encodes the response of a steward.
     *
     * @param sequence The sequence number of the report that is answered.
     * @param grants The permits that are lent.
     */
    static byte[] write(long sequence, List<PermitGrant> grants) {
        PermitResponse.Builder response = PermitResponse.newBuilder().setSequence(sequence);
        grants.forEach(grant -> response.addGrants(grant(grant)));
        return response.build().toByteArray();
    }

    /**
     * Encodes a recall of permits.
     *
     * @param grants The lowered grants.
     */
    static byte[] writeRecall(List<PermitGrant> grants) {
        PermitRecall.Builder recall = PermitRecall.newBuilder();
        grants.forEach(grant -> recall.addGrants(grant(grant)));
        return TargetMessage.newBuilder().setRecall(recall).build().toByteArray();
    }

    /** Decodes grants of permits. */
    static List<PermitGrant> grants(List<TargetGrant> grants) {
        return grants.stream()
                .map(grant -> new PermitGrant(
                        TargetId.of(grant.getTarget()),
                        grant.getTotal(),
                        grant.getBatch(),
                        grant.getCapacity(),
                        grant.getOthersUse(),
                        grant.getMark(),
                        grant.getWarmMillis()))
                .toList();
    }

    private static TargetGrant grant(PermitGrant grant) {
        return TargetGrant.newBuilder()
                .setTarget(grant.target().value())
                .setTotal(grant.total())
                .setBatch(grant.batch())
                .setCapacity(grant.capacity())
                .setOthersUse(grant.othersUse())
                .setMark(grant.mark())
                .setWarmMillis(grant.warmMillis())
                .build();
    }

    /** Encodes the report about one target. */
    private static TargetReport report(PermitReport report) {
        PermitReport.ColdSigns coldSigns = report.coldSigns();
        return TargetReport.newBuilder()
                .setTarget(report.target().value())
                .setHeld(report.heldPermits())
                .setOnlineUse(report.onlineUse())
                .setBatchUse(report.batchUse())
                .setOnlineWanted(report.onlineWanted())
                .setBatchWanted(report.batchWanted())
                .setMark(coldSigns.mark())
                .setWarmMillisPlusOne(coldSigns.warmMillis() + 1)
                .setResets(coldSigns.resets())
                .setFirstTokens(coldSigns.firstTokens())
                .setFirstTokenMillis(coldSigns.firstTokenMillis())
                .build();
    }

    /** Decodes the report about one target. */
    private static PermitReport report(TargetReport report) {
        PermitReport.ColdSigns coldSigns = new PermitReport.ColdSigns(
                report.getMark(),
                report.getWarmMillisPlusOne() - 1,
                report.getResets(),
                report.getFirstTokens(),
                report.getFirstTokenMillis());
        return new PermitReport(
                TargetId.of(report.getTarget()),
                report.getHeld(),
                report.getOnlineUse(),
                report.getBatchUse(),
                report.getOnlineWanted(),
                report.getBatchWanted(),
                coldSigns);
    }

    /** Creates the failure for a message that could not be parsed. */
    private static Failure corrupt(String peer) {
        return Failure.unknown(Failure.Kind.CORRUPT, "target.message", peer, "the message could not be read");
    }
}
