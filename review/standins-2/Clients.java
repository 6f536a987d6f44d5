import java.util.*;
import java.util.concurrent.atomic.AtomicInteger;

/** What the clients of several cases share. */
final class Clients {
    /** The headers of a request with a new id; [isModel] adds those of a generation. */
    static Map<String, String> headers(long deadlineMillis, boolean isModel) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Lavenderhinge-Request-Id", Harness.newId());
        headers.put("X-Lavenderhinge-Deadline-Remaining", "" + deadlineMillis);
        if (isModel) {
            headers.put("X-Lavenderhinge-Model", "m");
            headers.put("X-Lavenderhinge-Token-Usage", "3000,120");
            headers.put("X-Lavenderhinge-Prompt-Prefix", "5c1e07a2:60," + Harness.newId() + ":2940");
        }
        return headers;
    }

    /** Counts [answer] by the time of its request, its route, its gateway and its status. */
    static void count(
            Map<String, AtomicInteger> answers,
            long start,
            String route,
            Harness.Gateway gateway,
            Harness.Answer answer) {
        String what = answer.result();
        long second = (answer.sentMillis - start) / 5_000 * 5;
        String key = String.format("sent from %2d s: %s at %s: %s", second, route, gateway.id, what);
        answers.computeIfAbsent(key, k -> new AtomicInteger()).incrementAndGet();
    }

    /** Writes what was sent and answered to [log]. */
    static void write(Harness.Log log, String route, Harness.Gateway gateway, Harness.Answer answer) {
        log.line(
                "%s was sent to %s at %d ms on route %s and got %s after %d ms",
                answer.id,
                gateway.id,
                answer.sentMillis,
                route,
                answer.result(),
                answer.endMillis - answer.sentMillis);
    }

    /**
     * The second line of rule CONFIG on timeouts: of the requests that last longer than [timeout],
     * eight or more and over a quarter have no final answer 0.5 s after it.
     */
    static boolean isUnanswered(Harness.Log log, List<Harness.Answer> answers, long timeoutMillis) {
        long lasted = 0;
        long unanswered = 0;
        List<Harness.Answer> all = List.copyOf(answers);
        for (Harness.Answer answer : all) {
            long millis = answer.endMillis - answer.sentMillis;
            if (millis > timeoutMillis) lasted++;
            if (millis > timeoutMillis + 500) unanswered++;
        }
        boolean isBroken = unanswered >= 8 && unanswered * 4 > lasted;
        log.line(
                "requests that count: %d; longer than their timeout_ms: %d; without a final answer 0.5 s"
                        + " after it: %d; rule %s",
                all.size(), lasted, unanswered, isBroken ? "BROKEN" : "held");
        return isBroken;
    }
}
