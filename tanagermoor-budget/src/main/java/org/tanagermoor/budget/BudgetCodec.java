package org.tanagermoor.budget;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tanagermoor.budget.proto.BudgetRequest;
import org.tanagermoor.budget.proto.HoldingsRequest;
import org.tanagermoor.budget.proto.HoldingsResponse;
import org.tanagermoor.budget.proto.ShareHolding;
import org.tanagermoor.budget.proto.ShareItem;
import org.tanagermoor.budget.proto.ShareLoan;
import org.tanagermoor.budget.proto.ShareReport;
import org.tanagermoor.budget.proto.ShareRequest;
import org.tanagermoor.budget.proto.ShareResponse;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.budget.Holding;
import org.tanagermoor.policy.budget.LoanRequest;
import org.tanagermoor.policy.budget.LoanResponse;
import org.tanagermoor.policy.budget.ShareKey;

/** Converts the messages about budgets between the types of the policy and their protobuf encoding. */
final class BudgetCodec {

    private BudgetCodec() {}

    /**
     * Parses a message.
     *
     * @param parser The protobuf parser of the expected message type.
     * @param peer The peer that sent the bytes; it is named in the failure.
     * @return The message, or a failure of kind {@link Failure.Kind#CORRUPT}.
     */
    static <T> Either<Failure, T> read(byte[] bytes, Parser<T> parser, String peer) {
        try {
            return Either.right(parser.read(bytes));
        } catch (InvalidProtocolBufferException exception) {
            return Either.left(
                    Failure.unknown(Failure.Kind.CORRUPT, "budget.message", peer, "the message could not be read"));
        }
    }

    /** Encodes a request for shares. */
    static byte[] write(LoanRequest loanRequest) {
        ShareRequest.Builder request = ShareRequest.newBuilder().setSequence(loanRequest.sequence());
        loanRequest.items().forEach(item -> request.addItems(item(item)));
        return BudgetRequest.newBuilder().setShare(request).build().toByteArray();
    }

    private static ShareItem item(LoanRequest.Item item) {
        ShareItem.Builder builder = ShareItem.newBuilder()
                .setBudget(item.key().budget())
                .setPart(item.key().part())
                .setNeeded((float) item.needed())
                .setAhead((float) item.prefetch());
        item.reports()
                .forEach(report -> builder.addReports(ShareReport.newBuilder()
                        .setLot(report.shareId())
                        .setSpent(report.spent())
                        .setClosed(report.closed())));
        return builder.build();
    }

    /** Decodes a request for shares. */
    static LoanRequest loanRequest(ShareRequest request) {
        List<LoanRequest.Item> items = new ArrayList<>();
        for (ShareItem item : request.getItemsList()) {
            List<LoanRequest.Report> reports = new ArrayList<>();
            for (ShareReport report : item.getReportsList()) {
                reports.add(new LoanRequest.Report(report.getLot(), report.getSpent(), report.getClosed()));
            }
            ShareKey key = new ShareKey(item.getBudget(), item.getPart());
            items.add(new LoanRequest.Item(key, item.getNeeded(), item.getAhead(), reports));
        }
        return new LoanRequest(request.getSequence(), items);
    }

    /**
     * Encodes the response to a request for shares. A loan refers to its item by the index of the item in the request.
     *
     * @param loanRequest The request that is answered.
     */
    static byte[] write(LoanRequest loanRequest, LoanResponse answer) {
        List<ShareKey> keys =
                loanRequest.items().stream().map(LoanRequest.Item::key).toList();
        ShareResponse.Builder response = ShareResponse.newBuilder().setSequence(answer.sequence());
        for (LoanResponse.Loan loan : answer.loans()) {
            response.addLoans(ShareLoan.newBuilder()
                    .setItem(keys.indexOf(loan.key()))
                    .setStatus(ShareLoan.Status.valueOf(loan.status().name()))
                    .setAmount(loan.amount())
                    .setRetryMillis((int) loan.retryMillis()));
        }
        return response.build().toByteArray();
    }

    /**
     * Decodes the response to a request for shares.
     *
     * @param loanRequest The request that is answered.
     * @param response The response. Loans with an unknown status, or with an index that the request does not have, are
     *     skipped.
     */
    static LoanResponse answer(LoanRequest loanRequest, ShareResponse response) {
        List<LoanResponse.Loan> loans = new ArrayList<>();
        for (ShareLoan loan : response.getLoansList()) {
            boolean recognized = loan.getStatus() != ShareLoan.Status.UNRECOGNIZED;
            if (recognized && loan.getItem() < loanRequest.items().size()) {
                ShareKey key = loanRequest.items().get(loan.getItem()).key();
                LoanResponse.Status status =
                        LoanResponse.Status.valueOf(loan.getStatus().name());
                loans.add(new LoanResponse.Loan(key, status, loan.getAmount(), loan.getRetryMillis()));
            }
        }
        return new LoanResponse(response.getSequence(), loans);
    }

    /**
     * Creates the response that stands in for one that did not arrive. It lends nothing.
     *
     * @param loanRequest The request that was not answered.
     * @param retryMillis The delay before the shares are requested again, in milliseconds.
     */
    static LoanResponse missingResponse(LoanRequest loanRequest, long retryMillis) {
        List<LoanResponse.Loan> loans = loanRequest.items().stream()
                .map(item -> new LoanResponse.Loan(item.key(), LoanResponse.Status.WAIT, 0, retryMillis))
                .toList();
        return new LoanResponse(loanRequest.sequence(), loans);
    }

    /**
     * Encodes a request that asks a member which shares it holds.
     *
     * @param viewVersion The version of the view in which the sender is the steward.
     */
    static byte[] holdingsRequest(long viewVersion) {
        HoldingsRequest request =
                HoldingsRequest.newBuilder().setViewVersion(viewVersion).build();
        return BudgetRequest.newBuilder().setHoldings(request).build().toByteArray();
    }

    /**
     * Encodes the shares that this member holds.
     *
     * @param memberHoldings The shares, or empty if this member has adopted another view.
     */
    static byte[] write(Optional<List<Holding>> memberHoldings) {
        HoldingsResponse.Builder response = HoldingsResponse.newBuilder().setAdopted(memberHoldings.isPresent());
        memberHoldings
                .orElse(List.of())
                .forEach(holding -> response.addHoldings(ShareHolding.newBuilder()
                        .setBudget(holding.key().budget())
                        .setPart(holding.key().part())
                        .setAmount(holding.amount())));
        return response.build().toByteArray();
    }

    /** Decodes the shares that a member holds. */
    static List<Holding> holdings(HoldingsResponse response) {
        return response.getHoldingsList().stream()
                .map(holding -> new Holding(new ShareKey(holding.getBudget(), holding.getPart()), holding.getAmount()))
                .toList();
    }

    /**
     * Parses the protobuf encoding of one message type.
     *
     * @param <T> The type of the message.
     */
    interface Parser<T> {

        /**
         * Parses a message.
         *
         * @throws InvalidProtocolBufferException If the bytes are not a message of this type.
         */
        T read(byte[] bytes) throws InvalidProtocolBufferException;
    }
}
