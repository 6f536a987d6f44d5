import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.LinkedHashMap;
import java.util.Map;

/** A client with one kept connection to one machine. */
final class Client implements AutoCloseable {
    /** The end of a client attempt; {@code status} is 0 if there was no complete answer. */
    record Result(int status, String end, boolean isOwnAnswer, long millis) {
        boolean isServed() {
            return status == 200 && isOwnAnswer;
        }
    }

    private final String ip;
    private final int port;
    private Socket socket;
    private InputStream in;

    Client(String address) {
        String[] parts = address.split(":");
        ip = parts[0];
        port = Integer.parseInt(parts[1]);
    }

    /** Sends one request, waits for its answer until its deadline, and records both. */
    Result send(String method, String host, String path, String key, String id, long deadlineMillis, byte[] body) {
        long sentMillis = Lab.now();
        Result result = exchange(method, host, path, key, id, deadlineMillis, body);
        Lab.note(id + " sent to " + ip + " at " + sentMillis + ", " + result.status() + " " + result.end());
        return result;
    }

    private Result exchange(String method, String host, String path, String key, String id, long deadlineMillis, byte[] body) {
        long startMillis = Lab.now();
        try {
            connect();
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Host", host);
            headers.put("X-Lavenderhinge-Request-Id", id);
            headers.put("X-Lavenderhinge-Deadline-Remaining", Long.toString(deadlineMillis));
            headers.put("X-Lavenderhinge-Key", key);
            socket.setSoTimeout((int) deadlineMillis);
            socket.getOutputStream().write(Http.request(method, path, headers, body));
            Http.Message answer = Http.read(in, true);
            if (answer == null) return ended(startMillis, "connection closed without an answer");
            boolean isOwn = answer.header("X-Lavenderhinge-Server-Signature") != null
                    && java.util.Arrays.equals(answer.body, Replica.body(id));
            if (answer.closes()) close();
            return new Result(answer.status(), "answered", isOwn, Lab.now() - startMillis);
        } catch (SocketTimeoutException e) {
            return ended(startMillis, "no answer by the deadline");
        } catch (IOException e) {
            return ended(startMillis, e.getClass().getSimpleName() + ": " + e.getMessage());
        }
    }

    private Result ended(long startMillis, String how) {
        close();
        return new Result(0, how, false, Lab.now() - startMillis);
    }

    void connect() throws IOException {
        if (socket != null && !socket.isClosed()) return;
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(ip, port), 1_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    @Override
    public void close() {
        try {
            if (socket != null) socket.close();
        } catch (IOException ignored) {
            // The connection is gone either way.
        }
    }
}
