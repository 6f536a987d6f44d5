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
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 over plain sockets, one thread for each connection. */
final class Http {
    private Http() {}

    /** A request or response as read from the wire. */
    static final class Message {
        /** The three parts of the first line. */
        String[] start;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name);
        }

        int status() {
            return Integer.parseInt(start[1]);
        }

        String method() {
            return start[0];
        }

        String target() {
            return start[1];
        }

        String path() {
            return start[1].split("\\?", 2)[0];
        }

        /** Returns the decoded value of a query parameter, or an empty string. */
        String query(String name) {
            String[] parts = start[1].split("\\?", 2);
            if (parts.length < 2) return "";
            for (String pair : parts[1].split("&")) {
                String[] field = pair.split("=", 2);
                if (field[0].equals(name)) {
                    return java.net.URLDecoder.decode(field[1], StandardCharsets.UTF_8);
                }
            }
            return "";
        }

        boolean closes() {
            String connection = header("Connection");
            return connection != null && connection.equalsIgnoreCase("close");
        }
    }

    /** Reads a message; returns null if the connection ended before its first byte. */
    static Message read(InputStream in, boolean isResponse) throws IOException {
        String line = line(in);
        if (line == null) return null;
        Message message = new Message();
        message.start = line.split(" ", 3);
        if (message.start.length < 2) throw new IOException("malformed first line: " + line);
        while (!(line = required(line(in))).isEmpty()) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        String length = message.header("Content-Length");
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            message.body = chunks(in);
        } else if (length != null) {
            message.body = in.readNBytes(Integer.parseInt(length));
            if (message.body.length < Integer.parseInt(length)) throw new EOFException("short body");
        } else if (isResponse) {
            message.body = in.readAllBytes();
        }
        return message;
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(required(line(in)).trim(), 16);
            byte[] chunk = in.readNBytes(size);
            if (chunk.length < size) throw new EOFException("short chunk");
            body.write(chunk);
            required(line(in));
            if (size == 0) return body.toByteArray();
        }
    }

    private static String required(String line) throws IOException {
        if (line == null) throw new EOFException("the connection ended within a message");
        return line;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder out = new StringBuilder();
        while (true) {
            int c = in.read();
            if (c < 0) {
                if (out.length() == 0) return null;
                throw new EOFException("the connection ended within a line");
            }
            if (c == '\n') return out.toString();
            if (c != '\r') out.append((char) c);
        }
    }

    static byte[] response(int status, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " x\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Content-Length: " + body.length + "\r\n\r\n");
        return concatenate(head.toString().getBytes(StandardCharsets.ISO_8859_1), body);
    }

    static byte[] request(String method, String target, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        if (!method.equals("GET")) head.append("Content-Length: " + body.length + "\r\n");
        head.append("\r\n");
        return concatenate(head.toString().getBytes(StandardCharsets.ISO_8859_1), body);
    }

    private static byte[] concatenate(byte[] first, byte[] second) {
        byte[] all = java.util.Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, all, first.length, second.length);
        return all;
    }

    /** Handles one request; an exception closes the connection without an answer. */
    interface Handler {
        void handle(Message request, Connection connection) throws Exception;
    }

    /** A connection of a server. */
    static final class Connection {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.in = new BufferedInputStream(socket.getInputStream(), 65_536);
            this.out = socket.getOutputStream();
            socket.setTcpNoDelay(true);
        }

        void respond(int status, Map<String, String> headers, byte[] body) throws IOException {
            out.write(response(status, headers, body));
            out.flush();
        }

        void respondJson(int status, Object body) throws IOException {
            respond(
                    status,
                    Map.of("Content-Type", "application/json"),
                    Json.render(body).getBytes(StandardCharsets.UTF_8));
        }

        void close() {
            try {
                socket.close();
            } catch (IOException ignored) {
                // The connection is gone either way.
            }
        }
    }

    /** A server that can be ended like a process: its listener and connections close at once. */
    static final class Server {
        private final ServerSocket listener = new ServerSocket();
        private final java.util.Set<Connection> connections =
                java.util.concurrent.ConcurrentHashMap.newKeySet();
        private final Handler handler;

        Server(String ip, Handler handler) throws IOException {
            this.handler = handler;
            listener.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 1024);
            Lab.thread("listener", this::accept);
        }

        String address() {
            return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
        }

        void end() throws IOException {
            listener.close();
            connections.forEach(Connection::close);
        }

        private void accept() throws IOException {
            while (!listener.isClosed()) {
                Connection connection = new Connection(listener.accept());
                connections.add(connection);
                Lab.thread("connection", () -> serve(connection));
            }
        }

        private void serve(Connection connection) throws Exception {
            try {
                Message request;
                while ((request = read(connection.in, false)) != null) {
                    handler.handle(request, connection);
                    if (request.closes()) return;
                }
            } finally {
                connections.remove(connection);
                connection.close();
            }
        }
    }
}
