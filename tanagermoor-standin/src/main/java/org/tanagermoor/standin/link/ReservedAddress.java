package org.tanagermoor.standin.link;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * A loopback address that the operating system gives to no other socket while it is held. A process that is told this
 * address can listen there, also again after a restart, if it binds with address reuse: what holds it never listens.
 */
public final class ReservedAddress implements AutoCloseable {

    /** The socket that holds the address. */
    private final Socket holder;

    /**
     * Creates a reserved address.
     *
     * @param holder The socket that holds the address.
     */
    private ReservedAddress(Socket holder) {
        this.holder = holder;
    }

    /**
     * Reserves a free address.
     *
     * @return The address.
     * @throws UncheckedIOException If no address is free.
     */
    public static ReservedAddress of() {
        Socket holder = new Socket();
        try {
            holder.setReuseAddress(true);
            holder.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        } catch (IOException exception) {
            throw new UncheckedIOException("cannot reserve a loopback address", exception);
        }
        return new ReservedAddress(holder);
    }

    /**
     * Returns the address.
     *
     * @return The address, as ip:port.
     */
    public String address() {
        return holder.getLocalAddress().getHostAddress() + ":" + holder.getLocalPort();
    }

    /** Gives the address back. */
    @Override
    public void close() {
        try {
            holder.close();
        } catch (IOException exception) {
            throw new UncheckedIOException("cannot give back " + address(), exception);
        }
    }
}
