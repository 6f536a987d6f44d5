import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * Case 10: a rollout to a version that turns bad after two thirds of its time. Checks which part of
 * the requests reaches the bad version between the order and its deadline.
 */
final class LateFault {
    static final int GATEWAYS = 3;
    static final int CLIENTS = 8;
    static final int DURATION_S = 20;
    static final long BAD_AFTER_MILLIS = 14_000;
    static final double FAILED_SHARE = 0.4;
    static final double EXPOSURE_SHARE = 0.1;
    static final int EXPOSURE_SLACK = 50;

    public static void main(String[] args) throws Exception {
        Path folder = Path.of(args[0]);
        Harness.Log log = new Harness.Log(folder.resolve("record.txt"));
        Harness.Fleet fleet = new Harness.Fleet(GATEWAYS);
        AtomicBoolean isBad = new AtomicBoolean();
        AtomicLong runs = new AtomicLong();
        Map<String, Long> arrivals = new ConcurrentHashMap<>();
        Map<String, String> versions = new ConcurrentHashMap<>();
        Harness.Work plain = Harness.plain(40, runs);
        Harness.Work work =
                (replica, request, connection) -> {
                    String id = request.header("X-Lavenderhinge-Request-Id");
                    log.line("%s runs at %s (%s)", id, replica.id, replica.version);
                    arrivals.put(id, Harness.now());
                    versions.put(id, replica.version);
                    boolean fails =
                            replica.version.equals("v2")
                                    && isBad.get()
                                    && ThreadLocalRandom.current().nextDouble() < FAILED_SHARE;
                    if (!fails) {
                        plain.run(replica, request, connection);
                        return;
                    }
                    Harness.sleep(40);
                    String head = replica.head(500, request, "text/plain");
                    Harness.write(connection, head + "Content-Length: 6\r\n\r\nfailed");
                };
        List<Harness.Replica> old = new ArrayList<>();
        for (int i = 0; i < 4; i++) old.add(new Harness.Replica(fleet, "i-old-" + i, "app", 6, "v1", work));
        fleet.store.put(
                "op/config",
                Harness.config(7, Harness.route("book", "/book/", "non_idempotent", "app", 800, 200)));
        fleet.start();
        Map<String, Harness.Answer> answers = new ConcurrentHashMap<>();
        long start = Harness.now();
        long order = start + 5_000;
        long deadline = order + DURATION_S * 1_000L;
        long end = deadline + 3_000;
        for (Harness.Gateway gateway : fleet.gateways) {
            for (int i = 0; i < CLIENTS; i++) {
                long from = start + 41L * i;
                Harness.daemon(
                        () -> {
                            Harness.Client client = new Harness.Client(gateway.ip, gateway.port);
                            Harness.sleep(from - Harness.now());
                            while (Harness.now() < end) {
                                Map<String, String> headers = Clients.headers(1_500, false);
                                Harness.Answer answer =
                                        client.send("POST", "/book/1", headers, new byte[300], 2_000);
                                answers.put(answer.id, answer);
                                Clients.write(log, "book", gateway, answer);
                                Harness.sleep(260);
                            }
                        });
            }
        }
        List<Harness.Replica> target = new ArrayList<>();
        Harness.sleep(order - Harness.now());
        for (int i = 0; i < 4; i++) target.add(new Harness.Replica(fleet, "i-new-" + i, "app", 6, "v2", work));
        fleet.store.put(
                "op/rollout/app",
                "{\"service\":\"app\",\"target\":\"v2\",\"duration_s\":" + DURATION_S + "}");
        log.line("order: app to v2 within %d s, trouble %s", DURATION_S, Harness.TROUBLE);
        String state = "";
        while (Harness.now() < end) {
            if (Harness.TROUBLE && !isBad.get() && Harness.now() >= order + BAD_AFTER_MILLIS) {
                isBad.set(true);
                log.line("v2 fails %.0f in 100 of its requests from now on", FAILED_SHARE * 100);
            }
            String status = fleet.store.get("status/rollout/app");
            if (status != null && !status.equals(state)) {
                state = status;
                log.line("status %s, %d ms after the order", status, Harness.now() - order);
                if (status.contains("completed")) for (Harness.Replica replica : old) replica.exit();
                if (status.contains("rolled_back")) {
                    for (Harness.Replica replica : target) {
                        replica.state = "draining";
                        replica.beat();
                    }
                }
            }
            Harness.sleep(10);
        }
        Harness.sleep(2_500);
        long all = 0;
        long exposed = 0;
        long failed = 0;
        for (Map.Entry<String, Long> arrival : arrivals.entrySet()) {
            if (arrival.getValue() < order || arrival.getValue() > deadline) continue;
            all++;
            if (!versions.get(arrival.getKey()).equals("v2")) continue;
            exposed++;
            Harness.Answer answer = answers.get(arrival.getKey());
            if (answer == null || answer.status != 200) failed++;
        }
        long allowed = (long) (EXPOSURE_SHARE * all) + EXPOSURE_SLACK;
        boolean isBroken = Harness.TROUBLE && exposed > allowed;
        log.line(
                "requests at the service between the order and its deadline: %d; at v2: %d, of these without a"
                        + " success: %d; allowed for a bad version: %d; rule %s",
                all, exposed, failed, allowed, isBroken ? "BROKEN" : "held");
        fleet.close();
        System.exit(isBroken ? 1 : all >= 500 && exposed > 0 ? 0 : 2);
    }
}
