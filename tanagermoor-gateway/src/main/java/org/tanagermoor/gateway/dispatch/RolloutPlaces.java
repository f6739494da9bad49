package org.tanagermoor.gateway.dispatch;

/**
 * The numbers of places of a service on which the next phase of its roll-out depends.
 *
 * @param newPlaces The number of places at usable targets of the new version that are not limited to a cold rate.
 * @param placesInUse The maximum number of places of the service in use in the last 5 s, at most five sixths of the
 *     places of the other versions.
 * @param oldPlacesInUse The number of places in use at targets of other versions.
 */
public record RolloutPlaces(int newPlaces, int placesInUse, int oldPlacesInUse) {}
