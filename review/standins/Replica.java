import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A sound replica of a plain service. It registers in the store and tells what it has run. */
class Replica {
    static final int SLOTS = 6, QUEUE = 24, HEARTBEAT_MILLIS = 1_200;
    private static final AtomicInteger count = new AtomicInteger();

    /** Told of each request that reaches a replica, run or not, and of the end of each run. */
    interface Observer {
        void onArrival(Replica replica, String requestId, long millis);

        default void onRunEnded(Replica replica, String requestId, boolean wasAnswered) {}
    }

    final String id = "i-" + Integer.toHexString(0x7f3a9100 + count.incrementAndGet());
    final String service;
    final String zone;
    final String version;
    private final int slotCount;
    private final Store store;
    private final long workMillis;
    private final Observer observer;
    private final Http.Server server;
    private final Semaphore slots;
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicLong sequence = new AtomicLong();
    private final long bornMillis = System.currentTimeMillis();
    private volatile String state = "ready";
    private volatile boolean isListed = true;
    volatile boolean hasEnded;

    Replica(String ip, String service, String zone, Store store, long workMillis, Observer observer)
            throws Exception {
        this(ip, service, zone, "v1", SLOTS, store, workMillis, observer);
    }

    Replica(String ip, String service, String zone, String version, int slotCount, Store store,
            long workMillis, Observer observer) throws Exception {
        this.version = version;
        this.slotCount = slotCount;
        slots = new Semaphore(slotCount, true);
        this.service = service;
        this.zone = zone;
        this.store = store;
        this.workMillis = workMillis;
        this.observer = observer;
        server = new Http.Server(ip, this::handle);
        beat();
        Lab.thread("heartbeat", () -> {
            while (isListed) {
                Thread.sleep(HEARTBEAT_MILLIS);
                beat();
            }
        });
    }

    private synchronized void beat() {
        if (!isListed) return;
        store.put("servers/" + id, Json.map(
                "service", service, "address", server.address(), "zone", zone, "version", version,
                "slots", slotCount, "state", state, "cold_remaining_ms", 0,
                "sequence", sequence.incrementAndGet(), "born", bornMillis));
    }

    /** Reports that it drains; on return, the store has acknowledged it. */
    synchronized void drain() {
        state = "draining";
        beat();
    }

    /** Removes its entry and goes on serving, as replicas do that never report draining. */
    synchronized void unlist() {
        isListed = false;
        store.remove("servers/" + id);
    }

    /** Ends like a process that exits. */
    void end() throws Exception {
        isListed = false;
        hasEnded = true;
        server.end();
    }

    protected void handle(Http.Message request, Http.Connection connection) throws Exception {
        if (request.path().equals("/health")) {
            int status = state.equals("ready") ? 200 : 503;
            connection.respond(status, Map.of("X-Lavenderhinge-Instance-Id", id), new byte[0]);
            return;
        }
        String requestId = request.header("X-Lavenderhinge-Request-Id");
        String expected = request.header("X-Lavenderhinge-Expected-Instance");
        Map<String, String> headers = new LinkedHashMap<>();
        if (requestId != null) headers.put("X-Lavenderhinge-Request-Id", requestId);
        headers.put("X-Lavenderhinge-Server-Load", load());
        if (expected != null && !expected.equals(id)) {
            headers.put("X-Lavenderhinge-Instance-Id", id);
            connection.respond(421, headers, new byte[0]);
            return;
        }
        observer.onArrival(this, requestId, Lab.now());
        String left = request.header("X-Lavenderhinge-Deadline-Remaining");
        long leftMillis = left == null ? 30_000 : Long.parseLong(left);
        if (requestId == null || !acquire(leftMillis)) {
            headers.put("X-Lavenderhinge-Not-Executed", "1");
            connection.respond(requestId == null ? 400 : 503, headers, new byte[0]);
            return;
        }
        boolean wasAnswered = false;
        try {
            Thread.sleep(workMillis);
            if (hasEnded) throw new java.io.IOException("the replica has ended");
            answer(request, connection, headers);
            wasAnswered = true;
        } finally {
            slots.release();
            Lab.note(requestId + " run at " + id + (wasAnswered ? "" : ", not answered"));
            observer.onRunEnded(this, requestId, wasAnswered);
        }
    }

    /** Waits for a slot, unless the queue is full or the deadline passes. */
    private boolean acquire(long leftMillis) throws InterruptedException {
        if (waiting.incrementAndGet() > QUEUE + slotCount) {
            waiting.decrementAndGet();
            return false;
        }
        try {
            return slots.tryAcquire(leftMillis, TimeUnit.MILLISECONDS);
        } finally {
            waiting.decrementAndGet();
        }
    }

    protected void answer(Http.Message request, Http.Connection connection, Map<String, String> headers)
            throws Exception {
        byte[] body = body(headers.get("X-Lavenderhinge-Request-Id"));
        headers.put("X-Lavenderhinge-Server-Signature", id + "." + body.length);
        connection.respond(200, headers, body);
    }

    /** The 800 bytes that belong to one request. */
    static byte[] body(String requestId) {
        return (requestId + " ").repeat(800).substring(0, 800).getBytes(StandardCharsets.ISO_8859_1);
    }

    private String load() {
        return (slotCount - slots.availablePermits()) + "," + waiting.get() + "," + slotCount;
    }
}
