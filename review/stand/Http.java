import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads and writes HTTP/1.1 messages over sockets. */
final class Http {

    private Http() {}

    /** An answer; {@code complete} tells whether its body had the announced end. */
    record Answer(int status, Map<String, String> headers, byte[] body, boolean complete, String error, long tookMillis) {

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** A request as a server reads it. */
    record Request(String method, String path, Map<String, String> headers, byte[] body) {

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    /** Sends a request on a new connection and reads its answer. */
    static Answer send(
            InetSocketAddress address, String method, String path, Map<String, String> headers, byte[] body, int timeoutMillis) {
        long startedAt = System.nanoTime();
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(address, Math.min(1_000, timeoutMillis));
            return exchange(socket, method, path, headers, body, timeoutMillis);
        } catch (IOException exception) {
            return new Answer(0, Map.of(), new byte[0], false, exception.toString(), since(startedAt));
        }
    }

    /** Sends a request on an open connection and reads its answer. */
    static Answer exchange(
            Socket socket, String method, String path, Map<String, String> headers, byte[] body, int timeoutMillis) {
        long startedAt = System.nanoTime();
        int status = 0;
        Map<String, String> answerHeaders = Map.of();
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        try {
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            bytes.writeBytes(body);
            socket.getOutputStream().write(bytes.toByteArray());
            Deadline in = new Deadline(socket, startedAt + timeoutMillis * 1_000_000L);
            String line = in.line();
            if (line == null) {
                return new Answer(0, Map.of(), new byte[0], false, "closed without an answer", since(startedAt));
            }
            status = Integer.parseInt(line.split(" ")[1]);
            answerHeaders = in.headers();
            boolean complete = in.body(answerHeaders, content);
            return new Answer(
                    status, answerHeaders, content.toByteArray(), complete, complete ? "" : "cut off", since(startedAt));
        } catch (IOException | RuntimeException exception) {
            return new Answer(
                    status, answerHeaders, content.toByteArray(), false, exception.toString(), since(startedAt));
        }
    }

    /** Reads a request; returns null at the end of the connection. */
    static Request read(Socket socket) throws IOException {
        Deadline in = new Deadline(socket, Long.MAX_VALUE);
        String line = in.line();
        if (line == null) {
            return null;
        }
        String[] words = line.split(" ");
        Map<String, String> headers = in.headers();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (headers.containsKey("Content-Length") || headers.containsKey("Transfer-Encoding")) {
            in.body(headers, body);
        }
        return new Request(words[0], words[1], headers, body.toByteArray());
    }

    private static long since(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000;
    }

    /** Reads from a socket until a time. */
    private static final class Deadline {

        private final Socket socket;
        private final InputStream in;
        private final long endNanos;

        Deadline(Socket socket, long endNanos) throws IOException {
            this.socket = socket;
            in = socket.getInputStream();
            this.endNanos = endNanos;
        }

        private void arm() throws IOException {
            if (endNanos == Long.MAX_VALUE) {
                socket.setSoTimeout(0);
                return;
            }
            long left = (endNanos - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                throw new SocketTimeoutException("no complete answer in time");
            }
            socket.setSoTimeout((int) left);
        }

        String line() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            while (true) {
                arm();
                int next = in.read();
                if (next < 0) {
                    return null;
                }
                if (next == '\n') {
                    String text = line.toString(StandardCharsets.ISO_8859_1);
                    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
                }
                line.write(next);
            }
        }

        Map<String, String> headers() throws IOException {
            Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
            for (String line = line(); line != null && !line.isEmpty(); line = line()) {
                int colon = line.indexOf(':');
                headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
            }
            return headers;
        }

        boolean body(Map<String, String> headers, ByteArrayOutputStream content) throws IOException {
            if (headers.getOrDefault("Transfer-Encoding", "").toLowerCase(Locale.ROOT).equals("chunked")) {
                while (true) {
                    String size = line();
                    if (size == null) {
                        return false;
                    }
                    int length = Integer.parseInt(size.strip(), 16);
                    if (!read(length, content)) {
                        return false;
                    }
                    if (line() == null) {
                        return false;
                    }
                    if (length == 0) {
                        return true;
                    }
                }
            }
            if (headers.containsKey("Content-Length")) {
                return read(Integer.parseInt(headers.get("Content-Length")), content);
            }
            read(Integer.MAX_VALUE, content);
            return true;
        }

        private boolean read(int length, ByteArrayOutputStream content) throws IOException {
            byte[] buffer = new byte[16_384];
            int left = length;
            while (left > 0) {
                arm();
                int count = in.read(buffer, 0, Math.min(buffer.length, left));
                if (count < 0) {
                    return false;
                }
                content.write(buffer, 0, count);
                left -= count;
            }
            return true;
        }
    }
}
