package org.tanagermoor.kernel.setting;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/**
 * The address of a socket: an IP address and a port.
 *
 * @param host The IP address as text, without brackets.
 * @param port The port, from 0 to 65535; 0 lets the system choose a port to listen on.
 */
public record Address(String host, int port) {

    private static final int MAX_PORT = 65_535;

    /** Matches IP addresses; host names are not accepted. */
    private static final Pattern IP_PATTERN = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:.]*");

    /**
     * Returns an address; neither part is checked.
     *
     * @param host The IP address as text, without brackets.
     * @param port The port, from 0 to 65535.
     */
    public static Address of(String host, int port) {
        return new Address(host, port);
    }

    /**
     * Parses an address of the form {@code ip:port} or {@code [ip]:port}.
     *
     * @return The address, or a description of the problem.
     */
    public static Either<String, Address> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            return Either.left("is not of the form ip:port: " + text);
        }
        String host = text.substring(0, colon).replace("[", "").replace("]", "");
        if (!IP_PATTERN.matcher(host).matches()) {
            return Either.left("does not begin with an IP number: " + text);
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return port < 0 || port > MAX_PORT
                    ? Either.left("has a port outside 0 to " + MAX_PORT + ": " + text)
                    : Either.right(new Address(host, port));
        } catch (NumberFormatException exception) {
            return Either.left("does not end with a port: " + text);
        }
    }

    /**
     * Converts this address for use with a socket.
     */
    public InetSocketAddress toSocketAddress() {
        return new InetSocketAddress(host, port);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return host.indexOf(':') < 0 ? host + ":" + port : "[" + host + "]:" + port;
    }
}
