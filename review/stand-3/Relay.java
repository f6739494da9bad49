package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Passes connections on to a port. It can let the open ones fall silent for good, while new ones work. */
public final class Relay implements AutoCloseable {

    private final ServerSocket server;

    private final int target;

    private final List<Link> links = new CopyOnWriteArrayList<>();

    /** Whether no new connection is taken: those that come are reset. */
    private volatile boolean refusing;

    public Relay(int target) throws IOException {
        this.target = target;
        server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1_024);
        Thread.ofVirtual().start(this::acceptAll);
    }

    /** Returns the port on which connections are taken. */
    public int port() {
        return server.getLocalPort();
    }

    /** Lets all open connections fall silent: nothing passes in either direction, and they stay open. */
    public int silenceOpen() {
        int count = 0;
        for (Link link : links) {
            if (!link.ended && !link.silent) {
                link.silent = true;
                count++;
            }
        }
        return count;
    }

    /** Resets all open connections, and refuses or takes new ones from now on. */
    public void refuse(boolean value) {
        refusing = value;
        if (value) {
            links.forEach(Link::reset);
        }
    }

    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                Socket left = server.accept();
                if (refusing) {
                    left.setSoLinger(true, 0);
                    left.close();
                    continue;
                }
                Thread.ofVirtual().start(() -> open(left));
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void open(Socket left) {
        try {
            left.setTcpNoDelay(true);
            Socket right = new Socket();
            right.setTcpNoDelay(true);
            right.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), target), 1_000);
            Link link = new Link(left, right);
            links.add(link);
            Thread.ofVirtual().start(() -> link.pump(left, right));
            Thread.ofVirtual().start(() -> link.pump(right, left));
        } catch (IOException exception) {
            close(left);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException exception) {
            // It is closed already.
        }
        links.forEach(Link::end);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException exception) {
            // It is closed already.
        }
    }

    /** Two connections between which bytes pass. */
    private final class Link {

        private final Socket left;

        private final Socket right;

        private volatile boolean silent;

        private volatile boolean ended;

        Link(Socket left, Socket right) {
            this.left = left;
            this.right = right;
        }

        void pump(Socket from, Socket to) {
            byte[] buffer = new byte[65_536];
            try {
                InputStream input = from.getInputStream();
                for (int read = input.read(buffer); read >= 0; read = input.read(buffer)) {
                    if (!silent) {
                        to.getOutputStream().write(buffer, 0, read);
                        to.getOutputStream().flush();
                    }
                }
            } catch (IOException exception) {
                // One side has reset its connection.
            }
            // The end of a side does not pass over a link that has become silent, either.
            if (!silent) {
                end();
            }
        }

        void reset() {
            try {
                left.setSoLinger(true, 0);
                right.setSoLinger(true, 0);
            } catch (IOException exception) {
                // It is closed already.
            }
            end();
        }

        void end() {
            ended = true;
            links.remove(this);
            Relay.close(left);
            Relay.close(right);
        }
    }
}
