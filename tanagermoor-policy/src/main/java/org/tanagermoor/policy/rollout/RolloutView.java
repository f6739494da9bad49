package org.tanagermoor.policy.rollout;

/**
 * What the dispatcher sees of a service beside the requests that it placed.
 *
 * @param newPlaces The number of places at usable targets of the new version.
 * @param placesInUse The maximum number of places of the service that were in use at once in the last 5 s.
 * @param oldPlacesInUse The number of places in use at targets of other versions.
 * @param allReported Whether each running instance has reported its places and no other known one was heard within 6 s.
 * @param stateFresh Whether the row of the state could be read or written in the last 5 s.
 */
public record RolloutView(
        int newPlaces, int placesInUse, int oldPlacesInUse, boolean allReported, boolean stateFresh) {}
