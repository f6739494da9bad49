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

/** Reads and writes the messages about permits. */
final class TargetCodec {

    /** There are no instances. */
    private TargetCodec() {}

    /**
     * Reads a request.
     *
     * @param bytes The bytes.
     * @param peer The peer that sent them.
     * @return The request, or a failure.
     */
    static Either<Failure, TargetMessage> read(byte[] bytes, String peer) {
        try {
            return Either.right(TargetMessage.parseFrom(bytes));
        } catch (InvalidProtocolBufferException exception) {
            return Either.left(corrupt(peer));
        }
    }

    /**
     * Reads the answer of a steward.
     *
     * @param bytes The bytes.
     * @param peer The steward.
     * @return The answer, or a failure.
     */
    static Either<Failure, PermitResponse> readResponse(byte[] bytes, String peer) {
        try {
            return Either.right(PermitResponse.parseFrom(bytes));
        } catch (InvalidProtocolBufferException exception) {
            return Either.left(corrupt(peer));
        }
    }

    /**
     * Writes a message that asks for permits.
     *
     * @param ask The message.
     * @return The bytes.
     */
    static byte[] write(PermitReports ask) {
        PermitRequest.Builder request = PermitRequest.newBuilder().setSequence(ask.sequence());
        ask.reports().forEach(report -> request.addReports(report(report)));
        return TargetMessage.newBuilder().setPermits(request).build().toByteArray();
    }

    /**
     * Reads a message that asks for permits.
     *
     * @param request The message.
     * @return What is asked for.
     */
    static PermitReports ask(PermitRequest request) {
        return new PermitReports(
                request.getSequence(),
                request.getReportsList().stream().map(TargetCodec::report).toList());
    }

    /**
     * Writes an answer.
     *
     * @param sequence The number of the message that is answered.
     * @param grants The grants.
     * @return The bytes.
     */
    static byte[] write(long sequence, List<PermitGrant> grants) {
        PermitResponse.Builder response = PermitResponse.newBuilder().setSequence(sequence);
        grants.forEach(grant -> response.addGrants(grant(grant)));
        return response.build().toByteArray();
    }

    /**
     * Writes a recall.
     *
     * @param grants The lowered grants.
     * @return The bytes.
     */
    static byte[] writeRecall(List<PermitGrant> grants) {
        PermitRecall.Builder recall = PermitRecall.newBuilder();
        grants.forEach(grant -> recall.addGrants(grant(grant)));
        return TargetMessage.newBuilder().setRecall(recall).build().toByteArray();
    }

    /**
     * Reads grants.
     *
     * @param grants The messages.
     * @return The grants.
     */
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

    /**
     * Writes a grant.
     *
     * @param grant The grant.
     * @return The message.
     */
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

    /**
     * Writes a report.
     *
     * @param report The report.
     * @return The message.
     */
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

    /**
     * Reads a report.
     *
     * @param report The message.
     * @return The report.
     */
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

    /**
     * Returns the failure of a message that could not be read.
     *
     * @param peer The peer that sent it.
     * @return The failure.
     */
    private static Failure corrupt(String peer) {
        return Failure.unknown(Failure.Kind.CORRUPT, "target.message", peer, "the message could not be read");
    }
}
