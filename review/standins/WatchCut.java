import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** The store cuts the watches that wait; just after it, a replica leaves. */
public final class WatchCut {
    private static final int MACHINES = 3, REPLICAS = 3, CLIENTS_PER_MACHINE = 8;
    private static final long WORK_MILLIS = 43, PAUSE_MILLIS = 100, DRAIN_MILLIS = 2_000;
    private static final long SERVES_LONGER_MILLIS = 300, CUT_BEFORE_MILLIS = 30;

    private final Map<String, Long> arrivals = new ConcurrentHashMap<>();
    private final Map<String, Boolean> unanswered = new ConcurrentHashMap<>();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger others = new AtomicInteger();
    private final AtomicLong lastId = new AtomicLong();
    private volatile boolean isOver;
    private volatile Replica leaving;

    public static void main(String[] arguments) {
        Lab.run(arguments, () -> new WatchCut().play());
    }

    private int play() throws Exception {
        Deployment deployment = new Deployment(MACHINES, Deployment.SITE_BOUNDS);
        Replica.Observer observer = new Replica.Observer() {
            @Override
            public void onArrival(Replica replica, String requestId, long millis) {
                if (replica == leaving) arrivals.put(requestId, millis);
            }

            @Override
            public void onRunEnded(Replica replica, String requestId, boolean wasAnswered) {
                if (replica == leaving && !wasAnswered) unanswered.put(requestId, true);
            }
        };
        for (int i = 0; i < REPLICAS; i++) {
            deployment.add(new Replica(Lab.ip(100 + i), Deployment.SERVICE,
                    Deployment.ZONES.get(i % 3), deployment.store, WORK_MILLIS, observer));
        }
        deployment.start();
        Thread.sleep(5_000);
        for (Lab.Gateway gateway : deployment.gateways) {
            for (int i = 0; i < CLIENTS_PER_MACHINE; i++) Lab.thread("client", () -> load(gateway));
        }
        Thread.sleep(3_000);
        leaving = deployment.replicas.get(0);
        Lab.await("every machine's watch waits", 10_000,
                () -> deployment.store.waitingWatches() == MACHINES);
        if (Lab.hasTrouble) {
            deployment.store.cutWatches();
            Lab.note("the watches that wait are cut");
        }
        Thread.sleep(CUT_BEFORE_MILLIS);
        leaving.unlist();
        long acknowledgedMillis = Lab.now();
        Lab.note("the entry of " + leaving.id + " is removed, acknowledged by the store");
        Thread.sleep(DRAIN_MILLIS + SERVES_LONGER_MILLIS);
        leaving.end();
        Lab.note(leaving.id + " ends");
        Thread.sleep(1_500);
        isOver = true;
        int late = 0;
        for (var arrival : arrivals.entrySet()) {
            long afterMillis = arrival.getValue() - acknowledgedMillis;
            if (afterMillis <= DRAIN_MILLIS) continue;
            late++;
            Lab.note("request " + arrival.getKey() + " reached the replica " + afterMillis
                    + " ms after the acknowledgement");
        }
        Lab.report(served + " requests served, " + others + " not; " + late
                + " reached the replica later than " + DRAIN_MILLIS + " ms after the acknowledgement, "
                + unanswered.size() + " were at work there when it ended");
        return late > 0 ? Lab.BROKEN : Lab.HELD;
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
                Thread.sleep(PAUSE_MILLIS);
            }
        }
    }
}
