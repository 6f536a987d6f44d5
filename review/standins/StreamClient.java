import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A client that asks for one stream on a connection of its own. */
final class StreamClient {
    /** How a client attempt ended; {@code status} is 0 if no answer began. */
    record Result(int status, int events, boolean hasEnd, String end) {
        boolean isWhole() {
            return status == 200 && hasEnd && events == StreamReplica.EVENTS;
        }
    }

    static final String GAVE_UP = "the client gave up", CLOSED = "the connection was closed";

    private StreamClient() {}

    /** Sends one request and reads its stream; gives up after {@code patienceMillis} without an event. */
    static Result send(Lab.Gateway gateway, String prefix, String id, long deadlineMillis,
            int patienceMillis) {
        long sentMillis = Lab.now();
        Result result = exchange(gateway, prefix, id, deadlineMillis, patienceMillis);
        Lab.note(id + " sent to " + gateway.ip + " at " + sentMillis + ", " + result.status() + ", "
                + result.events() + " events, " + result.end());
        return result;
    }

    private static Result exchange(Lab.Gateway gateway, String prefix, String id, long deadlineMillis,
            int patienceMillis) {
        long number = Long.parseLong(id.substring(1));
        // Prompts differ in length; the mean is about that of the sheet.
        long ownTokens = 1_000 + number * 97 % 5_400;
        int status = 0;
        int events = 0;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(gateway.ip, 8221), 1_000);
            socket.setSoTimeout(patienceMillis);
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Host", Deployment.HOST);
            headers.put("X-Lavenderhinge-Request-Id", id);
            headers.put("X-Lavenderhinge-Model", "m");
            headers.put("X-Lavenderhinge-Token-Usage", (60 + ownTokens) + ",52");
            headers.put("X-Lavenderhinge-Prompt-Prefix", "5c1e07a2:60," + number + ":" + ownTokens);
            headers.put("X-Lavenderhinge-Deadline-Remaining", Long.toString(deadlineMillis));
            headers.put("X-Lavenderhinge-Key", Deployment.KEY);
            socket.getOutputStream().write(Http.request("POST", prefix + "1", headers, new byte[9_200]));
            BufferedReader in = new BufferedReader(
                    new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            String line = in.readLine();
            if (line == null) return new Result(0, 0, false, CLOSED);
            status = Integer.parseInt(line.split(" ")[1]);
            while ((line = in.readLine()) != null) {
                if (line.startsWith("id: ")) events++;
                if (line.equals("0")) return new Result(status, events, true, "ended");
                if (status != 200 && line.isEmpty()) return new Result(status, 0, true, "answered");
            }
            return new Result(status, events, false, CLOSED);
        } catch (SocketTimeoutException e) {
            return new Result(status, events, false, GAVE_UP);
        } catch (IOException e) {
            return new Result(status, events, false, CLOSED);
        }
    }
}
