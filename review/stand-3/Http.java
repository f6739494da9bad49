package review;

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
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** A small HTTP/1.1 client and server on loopback addresses, without a library, so that cases decide on each byte. */
public final class Http {

    private static final int MAX_LINE_BYTES = 1 << 20;

    /** The ports that were given out. */
    private static final Set<Integer> GIVEN = ConcurrentHashMap.newKeySet();

    private Http() {}

    /** A message without its body: the first line and the headers, whose names are in lower case. */
    public record Head(String first, Map<String, String> headers) {

        /** Returns a header; empty if there is none. */
        public String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    /** A request that a server has read. */
    public record Request(String method, String path, Map<String, String> query, Head head, byte[] body) {

        /** Returns a header; empty if there is none. */
        public String header(String name) {
            return head.header(name);
        }
    }

    /** An answer that a client has read. The status is 0 if none came; an answer that was cut off is not complete. */
    public record Answer(int status, Head head, byte[] body, boolean complete) {

        /** Returns the body as text. */
        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Answers the requests of one connection, one at a time. */
    public interface Handler {

        /** Answers a request; returns whether the connection is kept. */
        boolean handle(Request request, Socket socket) throws Exception;
    }

    /**
     * Returns a free port of the loopback interface, below those that the system gives to outgoing connections: one of
     * them could take it before the process that it is meant for has started.
     */
    public static int freePort() throws IOException {
        for (int attempt = 0; attempt < 1_000; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(10_000, 32_000);
            if (GIVEN.add(port) && free(port)) {
                return port;
            }
        }
        throw new IOException("no port is free");
    }

    private static boolean free(int port) {
        try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return probe.isBound();
        } catch (IOException exception) {
            return false;
        }
    }

    /** Starts to serve on a port; close the returned socket to stop. */
    public static ServerSocket serve(int port, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_024);
        Thread.ofVirtual().start(() -> {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    Thread.ofVirtual().start(() -> answerAll(socket, handler));
                } catch (IOException exception) {
                    return;
                }
            }
        });
        return server;
    }

    private static void answerAll(Socket socket, Handler handler) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Head head = readHead(input);
                String[] line = head.first().split(" ");
                byte[] body = readBody(input, head, false);
                int mark = line[1].indexOf('?');
                String path = mark < 0 ? line[1] : line[1].substring(0, mark);
                Map<String, String> query = mark < 0 ? Map.of() : query(line[1].substring(mark + 1));
                if (!handler.handle(new Request(line[0], path, query, head, body), socket)) {
                    return;
                }
            }
        } catch (Exception exception) {
            // The peer has closed the connection, or the case has ended.
        }
    }

    /** Parses a query. */
    private static Map<String, String> query(String text) {
        Map<String, String> query = new LinkedHashMap<>();
        for (String pair : text.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                query.put(
                        URLDecoder.decode(pair.substring(0, equals), StandardCharsets.UTF_8),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    /** Writes a complete answer. */
    public static void write(Socket socket, int status, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        headers.forEach((name, value) ->
                head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        bytes.writeBytes(body);
        OutputStream output = socket.getOutputStream();
        output.write(bytes.toByteArray());
        output.flush();
    }

    /** Sends a request on a new connection and reads its answer, which must come within a time in milliseconds. */
    public static Answer call(
            int port, String method, String uri, Map<String, String> headers, byte[] body, int timeoutMillis) {
        Connection connection = null;
        try {
            connection = new Connection(port, timeoutMillis);
            return connection.call(method, uri, headers, body);
        } catch (IOException exception) {
            return new Answer(0, new Head("", Map.of()), new byte[0], false);
        } finally {
            if (connection != null) {
                connection.close();
            }
        }
    }

    /** A connection of a client, which is kept for several requests. */
    public static final class Connection {

        private final Socket socket = new Socket();

        private final InputStream input;

        /** Connects to a loopback port. Each read may take the given time in milliseconds. */
        public Connection(int port, int timeoutMillis) throws IOException {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMillis);
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), timeoutMillis);
            input = new BufferedInputStream(socket.getInputStream());
        }

        /** Sends a request and reads its answer. */
        public Answer call(String method, String uri, Map<String, String> headers, byte[] body) {
            try {
                send(method, uri, headers, body);
                return read();
            } catch (IOException exception) {
                return new Answer(0, new Head("", Map.of()), new byte[0], false);
            }
        }

        /** Sends a request. */
        public void send(String method, String uri, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder(method + " " + uri + " HTTP/1.1\r\n");
            headers.forEach((name, value) ->
                    head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            bytes.writeBytes(body);
            socket.getOutputStream().write(bytes.toByteArray());
            socket.getOutputStream().flush();
        }

        /** Reads an answer. */
        public Answer read() {
            Head head = new Head("", Map.of());
            int status = 0;
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            try {
                head = readHead(input);
                status = Integer.parseInt(head.first().split(" ")[1]);
                readBody(input, head, true, body);
                return new Answer(status, head, body.toByteArray(), true);
            } catch (IOException | NumberFormatException exception) {
                return new Answer(status, head, body.toByteArray(), false);
            }
        }

        /** Closes the connection. */
        public void close() {
            try {
                socket.close();
            } catch (IOException exception) {
                // It is closed already.
            }
        }
    }

    private static Head readHead(InputStream input) throws IOException {
        String first = readLine(input);
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(input); !line.isEmpty(); line = readLine(input)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).strip().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return new Head(first, headers);
    }

    private static byte[] readBody(InputStream input, Head head, boolean answer) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        readBody(input, head, answer, body);
        return body.toByteArray();
    }

    /** Reads a body into a buffer, so that the part before a break is kept. */
    private static void readBody(InputStream input, Head head, boolean answer, ByteArrayOutputStream body)
            throws IOException {
        if (head.header("transfer-encoding").contains("chunked")) {
            for (int size = chunk(input); size > 0; size = chunk(input)) {
                copy(input, size, body);
                readLine(input);
            }
            readLine(input);
        } else if (!head.header("content-length").isEmpty()) {
            copy(input, Integer.parseInt(head.header("content-length")), body);
        } else if (answer) {
            input.transferTo(body);
        }
    }

    private static int chunk(InputStream input) throws IOException {
        return Integer.parseInt(readLine(input).split(";")[0].strip(), 16);
    }

    private static void copy(InputStream input, int size, ByteArrayOutputStream to) throws IOException {
        byte[] buffer = new byte[8_192];
        for (int left = size; left > 0; ) {
            int read = input.read(buffer, 0, Math.min(left, buffer.length));
            if (read < 0) {
                throw new EOFException("the connection ended inside a body");
            }
            to.write(buffer, 0, read);
            left -= read;
        }
    }

    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int value = input.read(); value != '\n'; value = input.read()) {
            if (value < 0 || line.size() > MAX_LINE_BYTES) {
                throw new EOFException("the connection ended inside a line");
            }
            if (value != '\r') {
                line.write(value);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Returns the values of a list as text with commas between them. */
    public static String joined(List<?> values) {
        List<String> texts = new ArrayList<>();
        values.forEach(value -> texts.add(String.valueOf(value)));
        return String.join(",", texts);
    }
}
