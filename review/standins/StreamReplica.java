import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Predicate;

/** A model replica that answers with a stream of events; some streams may stop after the first ones. */
final class StreamReplica extends Replica {
    static final int EVENTS = 13, EVENTS_BEFORE_STOP = 3, MODEL_SLOTS = 5;
    static final long FIRST_MILLIS = 80, GAP_MILLIS = 15;

    private final Predicate<String> stalls;

    StreamReplica(String ip, String zone, String version, Store store, Observer observer,
            Predicate<String> stalls) throws Exception {
        super(ip, Deployment.MODELS, zone, version, MODEL_SLOTS, store, FIRST_MILLIS, observer);
        this.stalls = stalls;
    }

    @Override
    protected void answer(Http.Message request, Http.Connection connection, Map<String, String> headers)
            throws Exception {
        String requestId = headers.get("X-Lavenderhinge-Request-Id");
        boolean isStalling = stalls.test(requestId);
        headers.put("X-Lavenderhinge-Server-Signature", id + "." + EVENTS);
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        write(connection, head.toString());
        for (int event = 1; event <= EVENTS; event++) {
            if (isStalling && event > EVENTS_BEFORE_STOP) stall(request, connection);
            String text = "id: " + event + "\ndata: " + requestId + " " + event + "\n\n";
            write(connection, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            Thread.sleep(GAP_MILLIS);
        }
        write(connection, "0\r\n\r\n");
    }

    /** Sends nothing more; ends when the caller closes the connection or the deadline passes. */
    private void stall(Http.Message request, Http.Connection connection) throws IOException {
        connection.socket.setSoTimeout(
                Integer.parseInt(request.header("X-Lavenderhinge-Deadline-Remaining")));
        try {
            connection.in.read();
        } catch (SocketTimeoutException e) {
            // The deadline of the caller: a replica stops work then.
        }
        throw new IOException("a stalled stream has ended");
    }

    private static void write(Http.Connection connection, String text) throws IOException {
        connection.out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        connection.out.flush();
    }
}
