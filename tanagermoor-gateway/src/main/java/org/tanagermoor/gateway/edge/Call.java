package org.tanagermoor.gateway.edge;

/** A request of a caller that is being answered. */
interface Call {

    /** A call for which nothing is to be done when its caller leaves. */
    Call NO_OP = new Call() {
        /** {@inheritDoc} */
        @Override
        public void left() {
            // Nothing runs for it.
        }

        /** {@inheritDoc} */
        @Override
        public void writable(boolean value) {
            // Nothing is held back.
        }
    };

    /** Notes that the caller has left. */
    void left();

    /** Notes whether the connection takes more bytes. */
    void writable(boolean value);
}
