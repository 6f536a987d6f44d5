import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A rollout to a version that stalls a part of its streams after their first events. */
public final class StalledVersion {
    private static final int MACHINES = 3, REPLICAS = 6, DURATION_S = 30;
    private static final long REQUEST_PAUSE_MILLIS = 80;
    /** Of the streams of the bad version, in percent. */
    private static final int STALLING_PERCENT = 30;
    private static final double EXPOSURE_SHARE = 0.1;
    private static final int EXPOSURE_SLACK = 50, BAD_ANSWERS = 50;
    private static final long ROLLBACK_MILLIS = 5_000, DEADLINE_MILLIS = 5_000;
    /** The longest of 2 s, four times the objective and eight times the longest pause. */
    private static final int PATIENCE_MILLIS = 4_000;

    private final Set<String> ofNewVersion = ConcurrentHashMap.newKeySet();
    private final Map<String, Long> sentMillis = new ConcurrentHashMap<>();
    private final Map<String, Long> arrivedMillis = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Long> badMillis = new ConcurrentLinkedQueue<>();
    private final AtomicLong lastId = new AtomicLong();
    private final AtomicInteger completeOld = new AtomicInteger();
    private final AtomicInteger completeNew = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();

    public static void main(String[] arguments) {
        Lab.run(arguments, () -> new StalledVersion().play());
    }

    private int play() throws Exception {
        Deployment deployment = new Deployment(MACHINES, Deployment.SITE_BOUNDS);
        Replica.Observer observer = (replica, requestId, millis) -> {
            arrivedMillis.put(requestId, millis);
            if (replica.version.equals("v2")) ofNewVersion.add(requestId);
        };
        for (int i = 0; i < REPLICAS; i++) {
            deployment.add(new StreamReplica(Lab.ip(100 + i), Deployment.ZONES.get(i % 3), "v1",
                    deployment.store, observer, id -> false));
        }
        deployment.start();
        Lab.thread("traffic", () -> traffic(deployment));
        Thread.sleep(6_000);
        for (int i = 0; i < REPLICAS; i++) {
            deployment.add(new StreamReplica(Lab.ip(120 + i), Deployment.ZONES.get(i % 3), "v2",
                    deployment.store, observer, this::stalls));
        }
        Thread.sleep(2_000);
        deployment.store.put("op/rollout/" + Deployment.MODELS,
                Json.map("service", Deployment.MODELS, "target", "v2", "duration_s", DURATION_S));
        long orderMillis = Lab.now();
        Lab.note("the rollout to v2 is ordered, " + DURATION_S + " s");
        long deadlineMillis = orderMillis + DURATION_S * 1_000L;
        String state = "none";
        while (Lab.now() < deadlineMillis) {
            Thread.sleep(100);
            String now = deployment.store.text("status/rollout/" + Deployment.MODELS);
            if (now != null && !now.equals(state)) Lab.note("status " + now);
            if (now != null) state = now;
            if (state.contains("completed")) break;
        }
        if (state.contains("completed")) {
            for (Replica replica : deployment.replicas) {
                if (replica.version.equals("v1")) replica.end();
            }
            Lab.note("the replicas of v1 have stopped");
            Thread.sleep(Math.max(0, deadlineMillis - Lab.now()));
        }
        return judge(orderMillis, deadlineMillis, state);
    }

    private boolean stalls(String requestId) {
        return Lab.hasTrouble && Long.parseLong(requestId.substring(1)) * 37 % 100 < STALLING_PERCENT;
    }

    private int judge(long orderMillis, long deadlineMillis, String state) {
        long all = arrivedMillis.values().stream()
                .filter(millis -> millis >= orderMillis && millis <= deadlineMillis).count();
        long exposed = ofNewVersion.stream()
                .filter(id -> arrivedMillis.get(id) <= deadlineMillis).count();
        long limit = Math.round(EXPOSURE_SHARE * all) + EXPOSURE_SLACK;
        long[] bad = badMillis.stream().mapToLong(Long::longValue).sorted().toArray();
        long late = 0;
        if (bad.length >= BAD_ANSWERS) {
            long fromMillis = bad[BAD_ANSWERS - 1] + ROLLBACK_MILLIS;
            late = ofNewVersion.stream().filter(id -> sentMillis.get(id) > fromMillis).count();
        }
        Lab.report("state " + state + "; " + all + " requests reached the service until the deadline, "
                + exposed + " of them the new version (limit " + limit + "); " + bad.length
                + " bad answers, " + late + " requests sent to the version later than "
                + ROLLBACK_MILLIS + " ms after the " + BAD_ANSWERS + "th");
        Lab.report("complete streams: " + completeOld + " of v1, " + completeNew + " of v2; refused "
                + refused + "; streams that stopped and were never finished: " + lost);
        if (!Lab.hasTrouble) return lost.get() == 0 ? Lab.HELD : Lab.COULD_NOT_RUN;
        return exposed > limit || late > 0 ? Lab.BROKEN : Lab.HELD;
    }

    private void traffic(Deployment deployment) throws Exception {
        for (int i = 0; ; i++) {
            Lab.Gateway gateway = deployment.gateways.get(i % MACHINES);
            String id = "q" + lastId.incrementAndGet();
            Lab.thread("client", () -> stream(gateway, id));
            Thread.sleep(REQUEST_PAUSE_MILLIS);
        }
    }

    private void stream(Lab.Gateway gateway, String id) throws Exception {
        sentMillis.put(id, Lab.now());
        StreamClient.Result result =
                StreamClient.send(gateway, Deployment.SUMMARY, id, DEADLINE_MILLIS, PATIENCE_MILLIS);
        if (result.status() == 503) {
            refused.incrementAndGet();
        } else if (result.isWhole()) {
            (ofNewVersion.contains(id) ? completeNew : completeOld).incrementAndGet();
        } else {
            lost.incrementAndGet();
            if (ofNewVersion.contains(id)) badMillis.add(Lab.now());
            Lab.note("request " + id + ": status " + result.status() + ", " + result.events()
                    + " events, not complete, " + result.end());
        }
    }
}
