import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP proxy on loopback addresses that can hold bytes back, or reset connections. */
final class Proxy implements AutoCloseable {

    private final ServerSocket server;
    private final int target;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    /** Whether bytes are held back, in both directions. */
    volatile boolean silent;

    /** Whether new connections are reset. */
    volatile boolean refuse;

    /** Connections that were opened before this time carry no bytes any more, in nanoseconds. */
    private volatile long silentBefore = Long.MIN_VALUE;

    /** The delay of answers in milliseconds. */
    volatile long answerDelayMillis;

    Proxy(int target) throws IOException {
        this.target = target;
        server = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
        Thread.startVirtualThread(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                if (refuse) {
                    reset(socket);
                    continue;
                }
                Thread.startVirtualThread(() -> connect(socket));
            } catch (IOException exception) {
                // The server is closed, or the connection is gone.
            }
        }
    }

    private void connect(Socket socket) {
        try {
            while (silent) {
                ModelServer.pause(20);
            }
            Socket other = new Socket();
            other.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), target), 1_000);
            socket.setTcpNoDelay(true);
            other.setTcpNoDelay(true);
            sockets.add(socket);
            sockets.add(other);
            long openedAt = System.nanoTime();
            Thread.startVirtualThread(() -> copy(socket, other, false, openedAt));
            copy(other, socket, true, openedAt);
        } catch (IOException exception) {
            reset(socket);
        }
    }

    /** Silences all open connections for good, without a reset; new ones work. */
    void silenceOpen() {
        silentBefore = System.nanoTime();
    }

    private boolean held(long openedAt) {
        return silent || openedAt - silentBefore < 0 && silentBefore != Long.MIN_VALUE;
    }

    private void copy(Socket from, Socket to, boolean answers, long openedAt) {
        byte[] buffer = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                if (answers && answerDelayMillis > 0) {
                    ModelServer.pause(answerDelayMillis);
                }
                while (held(openedAt)) {
                    ModelServer.pause(10);
                }
                out.write(buffer, 0, count);
                out.flush();
            }
            while (held(openedAt)) {
                ModelServer.pause(10);
            }
            to.shutdownOutput();
        } catch (IOException exception) {
            reset(from);
            reset(to);
        } finally {
            sockets.remove(from);
        }
    }

    /** Resets all connections. */
    void resetAll() {
        sockets.forEach(Proxy::reset);
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException exception) {
            // It is closed.
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        resetAll();
    }
}
