package org.tanagermoor.membership;

import java.lang.System.Logger.Level;
import org.tanagermoor.kernel.event.EventType;

/** The events of the membership in the log. */
public enum MembershipEvent implements EventType {

    /** The standing of this instance differs from that at the last tick of the membership duty. */
    STANDING_CHANGED(1301, Level.INFO, "the standing changed"),

    /** This instance adopted a version of the configuration. */
    ADOPTED(1302, Level.DEBUG, "a version was adopted"),

    /** This instance wrote a change to the store and so made a new version. */
    RECORDED(1303, Level.INFO, "a change was recorded"),

    /** A version is known to be accepted: no instance with standing acts on an earlier one. */
    ACCEPTED(1304, Level.DEBUG, "a version is accepted"),

    /** This instance requests to be added to the view, or to replace its entry in the view. */
    JOINING(1305, Level.INFO, "this instance joins"),

    /** This instance requests to be marked as leaving in the view. */
    LEAVING(1306, Level.INFO, "this instance leaves"),

    /** A watched member has been silent for too long; this instance requests its removal from the view. */
    REMOVING(1307, Level.WARNING, "a silent member is removed"),

    /** The store failed, or did not answer in time. */
    STORE_FAILED(1308, Level.WARNING, "the store failed"),

    /** A recorded change did not apply to the adopted ledger. */
    CHANGE_REFUSED(1309, Level.ERROR, "a recorded change did not apply"),

    /** A change of the view that this instance requested was not recorded. */
    VIEW_CHANGE_FAILED(1310, Level.WARNING, "a change of the view was not recorded"),

    /** The store has a snapshot of the ledger at this version or a later one. */
    SNAPSHOT_KEPT(1311, Level.DEBUG, "a snapshot was kept"),

    /** A request of a peer could not be decoded. */
    MALFORMED(1312, Level.WARNING, "a message was malformed");

    private final Entry entry;

    MembershipEvent(int number, Level level, String text) {
        entry = new Entry(number, level, text);
    }

    /** {@inheritDoc} */
    @Override
    public Entry entry() {
        return entry;
    }
}
