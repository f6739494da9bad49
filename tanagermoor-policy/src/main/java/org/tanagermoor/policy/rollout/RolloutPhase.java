package org.tanagermoor.policy.rollout;

/** The phase of a roll-out. */
public sealed interface RolloutPhase {

    /** Returns whether the roll-out has ended. */
    default boolean isFinal() {
        return switch (this) {
            case Canary canary -> false;
            case Moving moving -> false;
            case Completed completed -> true;
            case RolledBack rolledBack -> true;
        };
    }

    /** The targets of the new version get few requests. */
    record Canary() implements RolloutPhase {}

    /** All new requests go to targets of the new version while those at other targets finish. */
    record Moving() implements RolloutPhase {}

    /** The new version serves the service; replaced versions get no request any more. */
    record Completed() implements RolloutPhase {}

    /**
     * The new version gets no request any more.
     *
     * @param reason Why the traffic did not move, for people.
     */
    record RolledBack(String reason) implements RolloutPhase {}
}
