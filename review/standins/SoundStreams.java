import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Sound streams with a pause that clients bear, around reloads of the settings. */
public final class SoundStreams {
    private static final int MACHINES = 4, REPLICAS = 8, RELOADS = 12;
    private static final long REQUEST_PAUSE_MILLIS = 40, RELOAD_PAUSE_MILLIS = 2_500;
    private static final long APPLY_MILLIS = 2_000, DEADLINE_MILLIS = 10_000;
    /** The longest of 2 s, four times the objective and eight times the longest pause. */
    private static final int PATIENCE_MILLIS = 2_400;
    private static final int PAUSING_PERCENT = 30;
    private static final long STREAM_PAUSE_MILLIS = 1_600;

    private final Map<String, Long> reloadedMillis = new ConcurrentHashMap<>();
    private final Map<String, Integer> arrivals = new ConcurrentHashMap<>();
    private final AtomicLong lastId = new AtomicLong();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private final AtomicInteger cutAroundReload = new AtomicInteger();
    private final AtomicInteger others = new AtomicInteger();
    private volatile boolean isOver;

    public static void main(String[] arguments) {
        Lab.run(arguments, () -> new SoundStreams().play());
    }

    private int play() throws Exception {
        Deployment deployment = new Deployment(MACHINES, Deployment.SITE_BOUNDS);
        Replica.Observer observer = (replica, requestId, millis) -> arrivals.merge(requestId, 1, Integer::sum);
        for (int i = 0; i < REPLICAS; i++) {
            deployment.add(new StreamReplica(Lab.ip(100 + i), Deployment.ZONES.get(i % 3), "v1",
                    deployment.store, observer, id -> false, this::pauseMillis));
        }
        deployment.start();
        Thread.sleep(4_000);
        Lab.thread("traffic", () -> traffic(deployment));
        Thread.sleep(8_000);
        for (int i = 0; i < RELOADS; i++) {
            Lab.Gateway gateway = deployment.gateways.get(i % MACHINES);
            reloadedMillis.put(gateway.name, Lab.now());
            gateway.signal("HUP");
            Thread.sleep(RELOAD_PAUSE_MILLIS);
        }
        Thread.sleep(3_000);
        isOver = true;
        Lab.report(whole + " streams whole, " + refused + " refused, " + cut
                + " cut by the system though their replica was at work and their client waited, "
                + cutAroundReload + " of these sent within " + APPLY_MILLIS
                + " ms after a SIGHUP of the machine; " + others + " ended otherwise");
        return cutAroundReload.get() > 0 ? Lab.BROKEN : Lab.HELD;
    }

    private long pauseMillis(String requestId) {
        boolean isPausing = Long.parseLong(requestId.substring(1)) * 37 % 100 < PAUSING_PERCENT;
        return Lab.hasTrouble && isPausing ? STREAM_PAUSE_MILLIS : 0;
    }

    private void traffic(Deployment deployment) throws Exception {
        for (int i = 0; !isOver; i++) {
            Lab.Gateway gateway = deployment.gateways.get(i % MACHINES);
            String id = "q" + lastId.incrementAndGet();
            Lab.thread("client", () -> stream(gateway, id));
            Thread.sleep(REQUEST_PAUSE_MILLIS);
        }
    }

    private void stream(Lab.Gateway gateway, String id) {
        long sentMillis = Lab.now();
        StreamClient.Result result =
                StreamClient.send(gateway, Deployment.DRAFT, id, DEADLINE_MILLIS, PATIENCE_MILLIS);
        if (isOver) return;
        if (result.isWhole()) {
            whole.incrementAndGet();
        } else if (result.status() == 503) {
            refused.incrementAndGet();
        } else if (result.end().equals(StreamClient.CLOSED)) {
            cut.incrementAndGet();
            Long reloaded = reloadedMillis.get(gateway.name);
            boolean isAround = reloaded != null && sentMillis >= reloaded
                    && sentMillis <= reloaded + APPLY_MILLIS;
            if (isAround) cutAroundReload.incrementAndGet();
            Lab.note("request " + id + " of " + gateway.name + ": cut after " + result.events()
                    + " events and " + (Lab.now() - sentMillis) + " ms, at its "
                    + arrivals.get(id) + ". replica" + (isAround ? ", around a SIGHUP" : ""));
        } else {
            others.incrementAndGet();
            Lab.note("request " + id + ": status " + result.status() + ", " + result.events()
                    + " events, " + result.end());
        }
    }
}
