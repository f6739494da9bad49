package org.tanagermoor.gateway.dispatch;

/**
 * The end of the use of a place.
 *
 * @param outcome How it ended.
 * @param answer How the target answered; {@link RunAnswer#NONE} if that is unknown or no request was sent.
 */
record PlaceEnd(PlaceOutcome outcome, RunAnswer answer) {

    /** The end of the use of a place to which no request was sent. */
    static final PlaceEnd UNUSED = new PlaceEnd(PlaceOutcome.UNUSED, RunAnswer.NONE);
}
