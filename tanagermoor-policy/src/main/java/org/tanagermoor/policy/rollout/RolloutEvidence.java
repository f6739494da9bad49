package org.tanagermoor.policy.rollout;

import java.util.List;
import java.util.Locale;

/**
 * The evidence on the new version so far.
 *
 * @param routes The evidence by route; rare routes beyond the maximum number are counted together.
 * @param sum The state of the test over all routes.
 * @param logLikelihood The log-likelihood ratio of the test over all routes; above 0 speaks against the new version.
 * @param newRequests The number of requests that were placed at targets of the new version.
 * @param oldRequests The number of requests that were placed at other targets.
 * @param newBad The number of bad answers of the new version, including those that other
 *     dispatchers counted.
 * @param share The share of requests that the new version got, from 0 to 1.
 */
public record RolloutEvidence(
        List<Route> routes,
        Verdict sum,
        double logLikelihood,
        long newRequests,
        long oldRequests,
        long newBad,
        double share) {

    /** What a sequential test says of the new version so far. */
    public enum Verdict {
        /** The evidence does not suffice. */
        OPEN,
        /** No excess of bad answers: at most the error rate that the test permits remains. */
        GOOD,
        /** Answers fail or slow down more often than at the other targets. */
        BAD,
        /** The route is too rare for a test of its own before the move. */
        POOLED
    }

    /**
     * The evidence on one route. Requests are counted when their run has ended.
     *
     * @param route The name of the route.
     * @param oldRequests The number of ended requests at other targets.
     * @param oldBad The number of those with a bad answer.
     * @param newRequests The number of ended requests at targets of the new version.
     * @param newBad The number of those with a bad answer.
     * @param verdict The state of the test on this route.
     * @param logLikelihood The log-likelihood ratio of the test on this route.
     */
    public record Route(
            String route,
            long oldRequests,
            long oldBad,
            long newRequests,
            long newBad,
            Verdict verdict,
            double logLikelihood) {

        /** Describes the evidence for people. */
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%s: new %d of %d bad, old %d of %d bad, %s (%.1f)",
                    route,
                    newBad,
                    newRequests,
                    oldBad,
                    oldRequests,
                    verdict.name().toLowerCase(Locale.ROOT),
                    logLikelihood);
        }
    }

    /** Describes the evidence for people. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "%s (%.1f), %d of %d requests (%.3f), %d bad",
                sum.name().toLowerCase(Locale.ROOT),
                logLikelihood,
                newRequests,
                newRequests + oldRequests,
                share,
                newBad));
        routes.forEach(route -> text.append("; ").append(route));
        return text.toString();
    }
}
