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

/** Reads and writes the messages about budgets. */
final class BudgetCodec {

    /** There are no instances. */
    private BudgetCodec() {}

    /**
     * Reads a message.
     *
     * @param <T> The type of the message.
     * @param bytes The bytes.
     * @param reader Reads them.
     * @param peer The peer that sent them.
     * @return The message, or a failure.
     */
    static <T> Either<Failure, T> read(byte[] bytes, Reader<T> reader, String peer) {
        try {
            return Either.right(reader.read(bytes));
        } catch (InvalidProtocolBufferException exception) {
            return Either.left(
                    Failure.unknown(Failure.Kind.CORRUPT, "budget.message", peer, "the message could not be read"));
        }
    }

    /**
     * Writes a message that asks for shares.
     *
     * @param ask The message.
     * @return The bytes.
     */
    static byte[] write(LoanRequest ask) {
        ShareRequest.Builder request = ShareRequest.newBuilder().setSequence(ask.sequence());
        ask.items().forEach(item -> request.addItems(item(item)));
        return BudgetRequest.newBuilder().setShare(request).build().toByteArray();
    }

    /**
     * Writes an item.
     *
     * @param item The item.
     * @return The message.
     */
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

    /**
     * Reads a message that asks for shares.
     *
     * @param request The message.
     * @return What is asked for.
     */
    static LoanRequest ask(ShareRequest request) {
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
     * Writes an answer.
     *
     * @param ask What was asked for.
     * @param answer The answer.
     * @return The bytes.
     */
    static byte[] write(LoanRequest ask, LoanResponse answer) {
        List<ShareKey> keys = ask.items().stream().map(LoanRequest.Item::key).toList();
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
     * Reads an answer.
     *
     * @param ask What was asked for.
     * @param response The answer; what does not fit the question is left out.
     * @return The answer.
     */
    static LoanResponse answer(LoanRequest ask, ShareResponse response) {
        List<LoanResponse.Loan> loans = new ArrayList<>();
        for (ShareLoan loan : response.getLoansList()) {
            boolean known = loan.getStatus() != ShareLoan.Status.UNRECOGNIZED;
            if (known && loan.getItem() < ask.items().size()) {
                ShareKey key = ask.items().get(loan.getItem()).key();
                LoanResponse.Status status =
                        LoanResponse.Status.valueOf(loan.getStatus().name());
                loans.add(new LoanResponse.Loan(key, status, loan.getAmount(), loan.getRetryMillis()));
            }
        }
        return new LoanResponse(response.getSequence(), loans);
    }

    /**
     * Returns the answer that stands for one that did not come.
     *
     * @param ask What was asked for.
     * @param retryMillis The time after which to ask again, in milliseconds.
     * @return An answer that lends nothing.
     */
    static LoanResponse missing(LoanRequest ask, long retryMillis) {
        List<LoanResponse.Loan> loans = ask.items().stream()
                .map(item -> new LoanResponse.Loan(item.key(), LoanResponse.Status.WAIT, 0, retryMillis))
                .toList();
        return new LoanResponse(ask.sequence(), loans);
    }

    /**
     * Writes a message that asks a member what it holds.
     *
     * @param viewVersion The version of the view.
     * @return The bytes.
     */
    static byte[] holdingsRequest(long viewVersion) {
        HoldingsRequest request =
                HoldingsRequest.newBuilder().setViewVersion(viewVersion).build();
        return BudgetRequest.newBuilder().setHoldings(request).build().toByteArray();
    }

    /**
     * Writes what a member holds.
     *
     * @param held What it holds, or nothing if it has adopted another view.
     * @return The bytes.
     */
    static byte[] write(Optional<List<Holding>> held) {
        HoldingsResponse.Builder response = HoldingsResponse.newBuilder().setAdopted(held.isPresent());
        held.orElse(List.of())
                .forEach(holding -> response.addHoldings(ShareHolding.newBuilder()
                        .setBudget(holding.key().budget())
                        .setPart(holding.key().part())
                        .setAmount(holding.amount())));
        return response.build().toByteArray();
    }

    /**
     * Reads what a member holds.
     *
     * @param response The message.
     * @return What it holds.
     */
    static List<Holding> holdings(HoldingsResponse response) {
        return response.getHoldingsList().stream()
                .map(holding -> new Holding(new ShareKey(holding.getBudget(), holding.getPart()), holding.getAmount()))
                .toList();
    }

    /**
     * Reads a message.
     *
     * @param <T> The type of the message.
     */
    interface Reader<T> {

        /**
         * Reads a message.
         *
         * @param bytes The bytes.
         * @return The message.
         * @throws InvalidProtocolBufferException If the bytes are no such message.
         */
        T read(byte[] bytes) throws InvalidProtocolBufferException;
    }
}
