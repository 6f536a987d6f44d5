import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** One machine loses its path to the store; just after it, a replica reports that it drains. */
public final class FollowerDrain {
    private static final int MACHINES = 16, REPLICAS = 5, CLIENTS_PER_MACHINE = 7;
    private static final long WORK_MILLIS = 43, PAUSE_MILLIS = 300, DRAIN_MILLIS = 3_000;
    private static final long SERVES_LONGER_MILLIS = 1_000, CUT_MILLIS = 5_000, CUT_BEFORE_MILLIS = 100;

    private final Map<String, String> machineOf = new ConcurrentHashMap<>();
    private final Map<String, Long> arrivals = new ConcurrentHashMap<>();
    private final Map<String, Boolean> unanswered = new ConcurrentHashMap<>();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger others = new AtomicInteger();
    private final AtomicLong lastId = new AtomicLong();
    private volatile boolean isOver;
    private volatile Replica leaving;

    public static void main(String[] arguments) {
        Lab.run(arguments, () -> new FollowerDrain().play());
    }

    private int play() throws Exception {
        Deployment deployment = new Deployment(MACHINES, Deployment.GROWN_BOUNDS);
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
        // The machines find their roles, and all are in touch.
        Thread.sleep(8_000);
        for (Lab.Gateway gateway : deployment.gateways) {
            for (int i = 0; i < CLIENTS_PER_MACHINE; i++) Lab.thread("client", () -> load(gateway));
        }
        Thread.sleep(3_000);
        // By the names of this deployment, this one is followed by two others.
        Lab.Gateway cutMachine = deployment.gateways.get(0);
        if (Lab.hasTrouble) {
            deployment.storePaths.get(0).setSilent(true);
            Lab.note(cutMachine.name + " is partitioned from the store");
        }
        Thread.sleep(CUT_BEFORE_MILLIS);
        leaving = deployment.replicas.get(0);
        leaving.drain();
        long acknowledgedMillis = Lab.now();
        Lab.note(leaving.id + " drains, acknowledged by the store");
        Thread.sleep(DRAIN_MILLIS + SERVES_LONGER_MILLIS);
        leaving.end();
        leaving.unlist();
        Lab.note(leaving.id + " ends");
        Thread.sleep(CUT_MILLIS - CUT_BEFORE_MILLIS - DRAIN_MILLIS - SERVES_LONGER_MILLIS);
        if (Lab.hasTrouble) {
            deployment.storePaths.get(0).setSilent(false);
            Lab.note(cutMachine.name + " reaches the store again");
        }
        Thread.sleep(1_500);
        isOver = true;
        int late = 0;
        for (var arrival : arrivals.entrySet()) {
            String machine = machineOf.get(arrival.getKey());
            long afterMillis = arrival.getValue() - acknowledgedMillis;
            if (afterMillis <= DRAIN_MILLIS || machine.equals(cutMachine.name)) continue;
            late++;
            Lab.note("request " + arrival.getKey() + " of " + machine + " reached the replica "
                    + afterMillis + " ms after the acknowledgement");
        }
        Lab.report(served + " requests served, " + others + " not; " + late
                + " reached the replica later than " + DRAIN_MILLIS
                + " ms after the acknowledgement, from machines in touch; " + unanswered.size()
                + " were at work there when it ended");
        return late > 0 ? Lab.BROKEN : Lab.HELD;
    }

    private void load(Lab.Gateway gateway) throws Exception {
        try (Client client = new Client(gateway.front())) {
            while (!isOver) {
                String id = "q" + lastId.incrementAndGet();
                machineOf.put(id, gateway.name);
                Client.Result result = client.send("POST", Deployment.HOST, Deployment.RECORD + "1",
                        Deployment.KEY, id, 1_000, new byte[600]);
                if (result.isServed()) served.incrementAndGet();
                else {
                    others.incrementAndGet();
                    Lab.note("request " + id + " of " + gateway.name + ": status " + result.status()
                            + ", " + result.end());
                }
                Thread.sleep(PAUSE_MILLIS);
            }
        }
    }
}
