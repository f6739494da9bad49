import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 listener and client on loopback addresses, with access to the sockets. */
final class Http {

    /** Names the port of the listener at which a request came, among its headers. */
    static final String LISTENER = "x-listener";

    private Http() {}

    /** A request or an answer. The first line is kept as it came. */
    record Message(String line, Map<String, String> headers, byte[] body) {

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String method() {
            return line.split(" ")[0];
        }

        String target() {
            return line.split(" ")[1];
        }

        String path() {
            return target().split("\\?")[0];
        }

        /** Returns a parameter of the query; empty if there is none. */
        String query(String name) {
            int mark = target().indexOf('?');
            if (mark >= 0) {
                for (String part : target().substring(mark + 1).split("&")) {
                    int equals = part.indexOf('=');
                    if (equals > 0 && part.substring(0, equals).equals(name)) {
                        return java.net.URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8);
                    }
                }
            }
            return "";
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads the head of a message; returns null at the end of the connection. */
    static List<String> readHead(InputStream in) throws IOException {
        List<String> lines = new ArrayList<>();
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int value = in.read();
            if (value < 0) {
                if (lines.isEmpty() && line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended inside a head");
            }
            if (value == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
                line.reset();
                if (text.isEmpty()) {
                    if (lines.isEmpty()) {
                        continue;
                    }
                    return lines;
                }
                lines.add(text);
            } else {
                line.write(value);
            }
        }
    }

    static Map<String, String> headers(List<String> head) {
        Map<String, String> headers = new TreeMap<>();
        for (String line : head.subList(1, head.size())) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).strip().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return headers;
    }

    /** Reads the chunks or the length of a body; an answer without either ends with its connection. */
    static byte[] readBody(InputStream in, Map<String, String> headers, boolean answer) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
            while (true) {
                int size = Integer.parseInt(readLine(in).split(";")[0].strip(), 16);
                body.write(readExactly(in, size));
                readLine(in);
                if (size == 0) {
                    return body.toByteArray();
                }
            }
        }
        if (headers.containsKey("content-length")) {
            return readExactly(in, Integer.parseInt(headers.get("content-length")));
        }
        return answer ? in.readAllBytes() : new byte[0];
    }

    private static byte[] readExactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the connection ended after " + bytes.length + " of " + size + " bytes");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int value = in.read(); value != '\n'; value = in.read()) {
            if (value < 0) {
                throw new EOFException("the connection ended inside a body");
            }
            line.append((char) value);
        }
        return line.toString().strip();
    }

    /** The connection on which a request came. */
    static final class Connection {

        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream(), 16_384);
            out = socket.getOutputStream();
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        void answer(int status, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
            headers.forEach((name, value) ->
                    head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.toString().getBytes(StandardCharsets.UTF_8));
            all.write(body);
            out.write(all.toByteArray());
            out.flush();
        }

        /** Resets the connection. */
        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException exception) {
                // It is closed.
            }
        }

        void close() {
            try {
                socket.close();
            } catch (IOException exception) {
                // It is closed.
            }
        }
    }

    /** Answers the requests of a listener. */
    interface Handler {

        /** Answers a request; returns whether the connection is kept. */
        boolean handle(Message request, Connection connection) throws Exception;
    }

    /** A listener with one thread for each connection. */
    static final class Listener implements AutoCloseable {

        private final Handler handler;
        private volatile ServerSocket server;
        final int port;
        final Set<Connection> open = ConcurrentHashMap.newKeySet();

        Listener(int port, Handler handler) throws IOException {
            this.handler = handler;
            server = bind(port);
            this.port = server.getLocalPort();
            accept(server);
        }

        private static ServerSocket bind(int port) throws IOException {
            ServerSocket server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 512);
            return server;
        }

        private void accept(ServerSocket from) {
            Thread.startVirtualThread(() -> {
                while (!from.isClosed()) {
                    try {
                        Connection connection = new Connection(from.accept());
                        Thread.startVirtualThread(() -> serve(connection));
                    } catch (IOException exception) {
                        if (from.isClosed()) {
                            return;
                        }
                    }
                }
            });
        }

        private void serve(Connection connection) {
            open.add(connection);
            try {
                boolean keep = true;
                while (keep) {
                    List<String> head = readHead(connection.in);
                    if (head == null) {
                        break;
                    }
                    Map<String, String> headers = headers(head);
                    byte[] body = readBody(connection.in, headers, false);
                    headers.put(LISTENER, Integer.toString(port));
                    keep = handler.handle(new Message(head.get(0), headers, body), connection);
                }
            } catch (Exception exception) {
                // The connection has ended.
            } finally {
                connection.close();
                open.remove(connection);
            }
        }

        /** Stops listening, and resets all connections, as a process that is killed does. */
        void crash() {
            close();
        }

        /** Listens again on the same port. */
        void restart() throws IOException {
            server = bind(port);
            accept(server);
        }

        @Override
        public void close() {
            try {
                server.close();
            } catch (IOException exception) {
                // It is closed.
            }
            open.forEach(Connection::reset);
        }
    }

    /** Sends one request over a new connection and returns the answer. */
    static Message call(int port, String method, String target, Map<String, String> headers, byte[] body, int millis)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
            socket.setSoTimeout(millis);
            send(socket.getOutputStream(), method, target, headers, body);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            return receive(in);
        }
    }

    static void send(OutputStream out, String method, String target, Map<String, String> headers, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
        headers.forEach(
                (name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (body != null) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        head.append("\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.toString().getBytes(StandardCharsets.UTF_8));
        if (body != null) {
            all.write(body);
        }
        out.write(all.toByteArray());
        out.flush();
    }

    static Message receive(InputStream in) throws IOException {
        List<String> head = readHead(in);
        if (head == null) {
            throw new EOFException("closed without an answer");
        }
        Map<String, String> answer = headers(head);
        return new Message(head.get(0), answer, readBody(in, answer, true));
    }
}
