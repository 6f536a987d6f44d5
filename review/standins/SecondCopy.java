import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** One replica is busy at times, and sends a few of these refusals a second time, late. */
public final class SecondCopy {
    private static final int MACHINES = 3, REPLICAS = 3, CLIENTS_PER_MACHINE = 8;
    private static final long WORK_MILLIS = 43, PAUSE_MILLIS = 250, PLAY_MILLIS = 35_000;
    /** Of the answers of the replica: refused as busy, and of the refusals those that come twice. */
    private static final double BUSY_SHARE = 0.45, COPIED_SHARE = 0.03;

    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final Set<String> promisedNotRun = ConcurrentHashMap.newKeySet();
    private final AtomicInteger copies = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger others = new AtomicInteger();
    private final AtomicLong lastId = new AtomicLong();
    private volatile boolean isOver;

    public static void main(String[] arguments) {
        Lab.run(arguments, () -> new SecondCopy().play());
    }

    private int play() throws Exception {
        Deployment deployment = new Deployment(MACHINES, Deployment.SITE_BOUNDS);
        for (int i = 0; i < REPLICAS; i++) {
            deployment.add(new FaultyReplica(Lab.ip(100 + i), Deployment.ZONES.get(i), deployment.store,
                    i == 0 && Lab.hasTrouble));
        }
        deployment.start();
        Thread.sleep(4_000);
        for (Lab.Gateway gateway : deployment.gateways) {
            for (int i = 0; i < CLIENTS_PER_MACHINE; i++) Lab.thread("client", () -> load(gateway));
        }
        Thread.sleep(PLAY_MILLIS);
        isOver = true;
        Thread.sleep(1_500);
        int twice = 0, refusedButRun = 0;
        for (var entry : runs.entrySet()) {
            if (entry.getValue() > 1) {
                twice++;
                Lab.note("record " + entry.getKey() + " was run " + entry.getValue() + " times");
            }
            if (promisedNotRun.contains(entry.getKey())) refusedButRun++;
        }
        Lab.report(served + " records answered, " + others + " not; " + copies + " second copies sent; " + twice
                + " records run more than once, " + refusedButRun + " run though their client was told that they were not");
        return twice > 0 || refusedButRun > 0 ? Lab.BROKEN : Lab.HELD;
    }

    /** A replica of the service that may refuse as busy and repeat such an answer late. */
    private final class FaultyReplica extends Replica {
        private final boolean isFaulty;
        private final Set<Http.Connection> owedCopies = ConcurrentHashMap.newKeySet();

        FaultyReplica(String ip, String zone, Store store, boolean isFaulty) throws Exception {
            super(ip, Deployment.SERVICE, zone, store, WORK_MILLIS, (replica, requestId, millis) -> {});
            this.isFaulty = isFaulty;
        }

        @Override
        protected void handle(Http.Message request, Http.Connection connection) throws Exception {
            // The copy comes at the point where the next answer is expected.
            if (owedCopies.remove(connection)) {
                copies.incrementAndGet();
                Lab.note(id + " sends a second copy of its last refusal");
                refuse(connection);
            } else if (isFaulty && ThreadLocalRandom.current().nextDouble() < BUSY_SHARE) {
                refuse(connection);
                if (ThreadLocalRandom.current().nextDouble() < COPIED_SHARE) owedCopies.add(connection);
                return;
            }
            super.handle(request, connection);
        }

        /** The answer of a replica that sheds, as the pages print it. */
        private void refuse(Http.Connection connection) throws IOException {
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("X-Lavenderhinge-Not-Executed", "1");
            connection.respond(503, headers, new byte[0]);
        }

        @Override
        protected void answer(Http.Message request, Http.Connection connection, Map<String, String> headers)
                throws Exception {
            runs.merge(headers.get("X-Lavenderhinge-Request-Id"), 1, Integer::sum);
            super.answer(request, connection, headers);
        }
    }

    private void load(Lab.Gateway gateway) throws Exception {
        try (Client client = new Client(gateway.front())) {
            while (!isOver) {
                String id = "q" + lastId.incrementAndGet();
                Client.Result result = client.send("POST", Deployment.HOST, Deployment.RECORD + "1",
                        Deployment.KEY, id, 1_000, new byte[600]);
                if (result.isServed()) served.incrementAndGet();
                else {
                    others.incrementAndGet();
                    Lab.note("request " + id + ": status " + result.status() + ", " + result.end());
                }
                if (result.status() == 503) promisedNotRun.add(id);
                Thread.sleep(PAUSE_MILLIS);
            }
        }
    }
}
