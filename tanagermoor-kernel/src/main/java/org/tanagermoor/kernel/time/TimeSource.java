package org.tanagermoor.kernel.time;

/**
 * A source of the current time. Only the outer layers read it: functions that make decisions receive the time as an
 * argument.
 */
public interface TimeSource {

    /**
     * Returns the monotonic time in nanoseconds. Only differences between readings of one process are meaningful.
     */
    long nanos();

    /**
     * Returns the wall clock time in milliseconds since the epoch. Use it only for output to people and for due times.
     */
    long wallMillis();

    /** The clocks of this machine. */
    enum ForSystem implements TimeSource {

        /** The singleton. */
        INSTANCE;

        /** {@inheritDoc} */
        @Override
        public long nanos() {
            return System.nanoTime();
        }

        /** {@inheritDoc} */
        @Override
        public long wallMillis() {
            return System.currentTimeMillis();
        }
    }
}
