import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/** Two of three machines are lost at once; their clients, whose bodies are large, move to the third. */
public final class LargeBodies {
    private static final int MACHINES = 3, REPLICAS = 3, CLIENTS = 60;
    private static final int BODY_BYTES = 4_190_000, SMALL_BODY_BYTES = 600;
    private static final long WORK_MILLIS = 43, PAUSE_MILLIS = 3_500, DEADLINE_MILLIS = 1_600;
    private static final long TIMEOUT_MILLIS = 1_000, GRACE_MILLIS = 500;
    private static final long CALM_MILLIS = 12_000, PLAY_MILLIS = 20_000;
    /** A machine may close so many connections under requests that it passed on. */
    private static final int ALLOWED_LOSSES = 3, MIN_UNANSWERED = 8;

    private record Attempt(String id, long sentMillis, boolean wasKept, Client.Result result) {}

    private final Set<String> reached = ConcurrentHashMap.newKeySet();
    private final ConcurrentLinkedQueue<Attempt> atSurvivor = new ConcurrentLinkedQueue<>();
    private final AtomicLong lastId = new AtomicLong();
    private volatile boolean areOthersDown;
    private Deployment deployment;
    private Lab.Gateway survivor;

    public static void main(String[] arguments) {
        Lab.run(arguments, () -> new LargeBodies().play());
    }

    private int play() throws Exception {
        deployment = new Deployment(MACHINES, Deployment.SITE_BOUNDS);
        Replica.Observer observer = (replica, requestId, millis) -> reached.add(requestId);
        for (int i = 0; i < REPLICAS; i++) {
            deployment.add(new Replica(Lab.ip(100 + i), Deployment.SERVICE,
                    Deployment.ZONES.get(i % 3), deployment.store, WORK_MILLIS, observer));
        }
        deployment.start();
        Thread.sleep(4_000);
        survivor = deployment.gateways.get(0);
        for (int i = 0; i < CLIENTS; i++) {
            Lab.Gateway near = deployment.gateways.get(i % MACHINES);
            Lab.thread("client", () -> load(near));
            Thread.sleep(PAUSE_MILLIS / CLIENTS);
        }
        Thread.sleep(CALM_MILLIS);
        long troubleMillis = Lab.now();
        if (Lab.hasTrouble) {
            areOthersDown = true;
            for (int i = 1; i < MACHINES; i++) {
                deployment.gateways.get(i).kill();
                Lab.note(deployment.gateways.get(i).name + " is lost");
            }
        }
        Thread.sleep(PLAY_MILLIS);
        return judge(troubleMillis);
    }

    private int judge(long troubleMillis) {
        long served = 0, lost = 0, unanswered = 0, all = 0, lastServedMillis = 0;
        for (Attempt attempt : atSurvivor) {
            if (attempt.sentMillis < troubleMillis) continue;
            all++;
            Client.Result result = attempt.result;
            if (result.isServed()) {
                served++;
                lastServedMillis = Math.max(lastServedMillis, attempt.sentMillis);
            }
            boolean isClosed = result.status() == 0 && result.millis() < DEADLINE_MILLIS;
            if (isClosed && attempt.wasKept && reached.contains(attempt.id)) lost++;
            if (result.status() == 0 && result.millis() > TIMEOUT_MILLIS + GRACE_MILLIS) unanswered++;
        }
        Lab.report(survivor.name + " was not touched: " + all + " requests since the loss of the others, " + served
                + " served, the last at " + lastServedMillis + " ms; process alive: " + survivor.isAlive()
                + ", ready: " + survivor.isReady());
        Lab.report("passed on to a sound replica from a kept connection, which was closed without an answer: "
                + lost + " (allowed " + ALLOWED_LOSSES + ")");
        Lab.report("no final answer " + GRACE_MILLIS + " ms after the timeout of the route: " + unanswered
                + " of " + all);
        boolean isBroken = lost > ALLOWED_LOSSES
                || unanswered >= MIN_UNANSWERED && unanswered > all / 4;
        return isBroken ? Lab.BROKEN : Lab.HELD;
    }

    private void load(Lab.Gateway near) throws Exception {
        Lab.Gateway machine = near;
        while (true) {
            try (Client client = new Client(machine.front())) {
                boolean isKept = send(client, machine, SMALL_BODY_BYTES, false).status() != 0;
                while (isKept) {
                    isKept = send(client, machine, BODY_BYTES, true).status() != 0;
                    Thread.sleep(PAUSE_MILLIS);
                }
            }
            if (areOthersDown) machine = survivor;
            Thread.sleep(200);
        }
    }

    private Client.Result send(Client client, Lab.Gateway machine, int bytes, boolean isKept) {
        String id = "q" + lastId.incrementAndGet();
        long sentMillis = Lab.now();
        Client.Result result = client.send("POST", Deployment.HOST, Deployment.RECORD + "1",
                Deployment.KEY, id, DEADLINE_MILLIS, new byte[bytes]);
        if (machine == survivor) atSurvivor.add(new Attempt(id, sentMillis, isKept, result));
        if (!result.isServed()) {
            Lab.note("request " + id + " of " + bytes + " bytes to " + machine.name + ": status "
                    + result.status() + ", " + result.end() + ", " + result.millis() + " ms, "
                    + (reached.contains(id) ? "reached a replica" : "reached no replica"));
        }
        return result;
    }
}
