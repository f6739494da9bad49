package org.tanagermoor.policy.configuration;

import io.vavr.control.Either;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.standing.ViewChain;

/**
 * The result of all recorded changes so far: the configuration, and the views that are not accepted yet.
 *
 * @param configuration The configuration after the last recorded change.
 * @param chain The views from the last one known to be accepted to that of the configuration.
 */
public record Ledger(Configuration configuration, ViewChain chain) {

    /** The ledger before the first change. */
    public static final Ledger EMPTY = new Ledger(Configuration.EMPTY, ViewChain.EMPTY);

    /** Returns the version of the configuration. */
    public long version() {
        return configuration.version();
    }

    /**
     * Applies a recorded change.
     *
     * @param recorded The change, which must make the version that follows the current one.
     * @return The next ledger, or a failure if the change does not apply.
     */
    public Either<Failure, Ledger> with(RecordedChange recorded) {
        if (recorded.version() != version() + 1) {
            return Either.left(Failure.notRun(
                    Failure.Kind.CONFLICT,
                    ChangeRules.STEP,
                    Failure.LOCAL,
                    "version " + recorded.version() + " does not follow version " + version()));
        }
        return configuration
                .with(recorded.change(), recorded.version(), recorded.changeId())
                .map(next ->
                        new Ledger(next, chain.withAccepted(recorded.accepted()).withView(next.view())));
    }

    /** Returns this ledger once a version is known to be accepted, with the views dropped that no longer count. */
    public Ledger withAccepted(long version) {
        return version <= chain.accepted() ? this : new Ledger(configuration, chain.withAccepted(version));
    }
}
