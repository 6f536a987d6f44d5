import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store: keys, ranges, watches, conditional writes and leases. */
final class Store {
    private record Item(String value, long revision, long created, long lease) {}

    private static final class Lease {
        long lifetimeMillis;
        long endMillis;
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final TreeMap<Long, Map<String, Object>> history = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 100;
    private long lastLease = 1_000;
    final Http.Server server;

    /** Cuts the watches that wait now: increased by {@link #cutWatches}. */
    private int cutGeneration;
    private int waitingWatches;

    Store(String ip) throws IOException {
        server = new Http.Server(ip, this::handle);
        Lab.thread("leases", this::expireLeases);
    }

    /** Writes as the operator or a server; returns when the store has acknowledged it. */
    synchronized long put(String key, Object value) {
        String text = Base64.getEncoder()
                .encodeToString(Json.render(value).getBytes(StandardCharsets.UTF_8));
        return write(key, text, 0);
    }

    synchronized void remove(String key) {
        if (items.remove(key) == null) return;
        revision++;
        history.put(revision, Json.map("key", key, "revision", revision, "removed", true));
        notifyAll();
    }

    /** Returns the value of a key as text, or null. */
    synchronized String text(String key) {
        Item item = items.get(key);
        return item == null
                ? null
                : new String(Base64.getDecoder().decode(item.value), StandardCharsets.UTF_8);
    }

    synchronized int waitingWatches() {
        return waitingWatches;
    }

    /** Closes the connections of the watches that wait now, without an answer. */
    synchronized void cutWatches() {
        cutGeneration++;
        notifyAll();
    }

    private long write(String key, String value, long lease) {
        revision++;
        Item old = items.get(key);
        items.put(key, new Item(value, revision, old == null ? revision : old.created, lease));
        history.put(revision, render(key));
        notifyAll();
        return revision;
    }

    private Map<String, Object> render(String key) {
        Item item = items.get(key);
        return Json.map("key", key, "value", item.value, "revision", item.revision,
                "created", item.created, "lease", item.lease);
    }

    private void handle(Http.Message request, Http.Connection connection) throws Exception {
        Thread.sleep(4);
        String path = request.path();
        switch (path.split("/")[1]) {
            case "kv-key" -> key(request, connection);
            case "kv-range" -> range(request, connection);
            case "kv-watch" -> watch(request, connection);
            case "kv-txn" -> transaction(request, connection);
            case "kv-lease" -> grant(request, connection);
            case "kv-keep" -> keep(path, connection);
            case "kv-lease-end" -> endLease(path, connection);
            default -> connection.respondJson(404, Json.map());
        }
    }

    private void key(Http.Message request, Http.Connection connection) throws IOException {
        Map<String, Object> item;
        synchronized (this) {
            String key = request.query("key");
            item = items.containsKey(key) ? render(key) : null;
            if (item != null) item.put("at", revision);
        }
        connection.respondJson(item == null ? 404 : 200, item == null ? Json.map() : item);
    }

    private void range(Http.Message request, Http.Connection connection) throws IOException {
        String prefix = request.query("prefix");
        String after = request.query("after");
        Map<String, Object> body;
        synchronized (this) {
            List<Object> found = new ArrayList<>();
            for (String key : items.keySet()) {
                if (key.startsWith(prefix) && key.compareTo(after) > 0) found.add(render(key));
            }
            body = Json.map("items", found, "truncated", false, "at", revision);
        }
        connection.respondJson(200, body);
    }

    private void watch(Http.Message request, Http.Connection connection) throws Exception {
        String prefix = request.query("prefix");
        long after = Long.parseLong(request.query("after"));
        long endMillis = Lab.now() + Long.parseLong(request.query("wait_ms"));
        Map<String, Object> body;
        synchronized (this) {
            int generation = cutGeneration;
            List<Object> events = events(prefix, after);
            while (events.isEmpty() && Lab.now() < endMillis && generation == cutGeneration) {
                waitingWatches++;
                wait(Math.max(1, endMillis - Lab.now()));
                waitingWatches--;
                events = events(prefix, after);
            }
            body = generation == cutGeneration
                    ? Json.map("events", events, "at", revision)
                    : null;
        }
        if (body == null) connection.close();
        else connection.respondJson(200, body);
    }

    private List<Object> events(String prefix, long after) {
        List<Object> events = new ArrayList<>();
        for (Map<String, Object> event : history.tailMap(after, false).values()) {
            if (((String) event.get("key")).startsWith(prefix)) events.add(event);
        }
        return events;
    }

    @SuppressWarnings("unchecked")
    private void transaction(Http.Message request, Http.Connection connection) throws IOException {
        var body = (Map<String, Object>) Json.parse(new String(request.body, StandardCharsets.UTF_8));
        int status = 200;
        Map<String, Object> answer;
        synchronized (this) {
            List<Object> current = new ArrayList<>();
            for (Object row : (List<Object>) body.get("expected_revision")) {
                var condition = (Map<String, Object>) row;
                String key = (String) condition.get("key");
                long actual = items.containsKey(key) ? items.get(key).revision : 0;
                if (actual != (Long) condition.get("revision")) status = 412;
                if (items.containsKey(key)) current.add(render(key));
            }
            for (Object row : (List<Object>) body.get("writes")) {
                Object lease = ((Map<String, Object>) row).get("lease");
                if (lease != null && (Long) lease != 0 && !leases.containsKey(lease)) status = 404;
            }
            answer = status == 412 ? Json.map("items", current) : Json.map();
            if (status == 200) {
                for (Object row : (List<Object>) body.get("writes")) {
                    var entry = (Map<String, Object>) row;
                    Object lease = entry.get("lease");
                    write((String) entry.get("key"), (String) entry.get("value"),
                            lease == null ? 0 : (Long) lease);
                }
                for (Object key : (List<Object>) body.get("remove")) remove((String) key);
                answer = Json.map("revision", revision);
            }
        }
        connection.respondJson(status, answer);
    }

    @SuppressWarnings("unchecked")
    private void grant(Http.Message request, Http.Connection connection) throws IOException {
        var body = (Map<String, Object>) Json.parse(new String(request.body, StandardCharsets.UTF_8));
        Lease lease = new Lease();
        lease.lifetimeMillis = (Long) body.get("lifetime_ms");
        long id;
        synchronized (this) {
            lease.endMillis = Lab.now() + lease.lifetimeMillis;
            id = ++lastLease;
            leases.put(id, lease);
        }
        connection.respondJson(200, Json.map("lease", id, "lifetime_ms", lease.lifetimeMillis));
    }

    private void keep(String path, Http.Connection connection) throws IOException {
        long id = Long.parseLong(path.substring("/kv-keep/".length()));
        Lease lease;
        synchronized (this) {
            lease = leases.get(id);
            if (lease != null) lease.endMillis = Lab.now() + lease.lifetimeMillis;
        }
        if (lease == null) connection.respondJson(404, Json.map());
        else connection.respondJson(200, Json.map("lifetime_ms", lease.lifetimeMillis));
    }

    private void endLease(String path, Http.Connection connection) throws IOException {
        end(Long.parseLong(path.substring("/kv-lease-end/".length())));
        connection.respondJson(200, Json.map());
    }

    private synchronized void end(long id) {
        leases.remove(id);
        List<String> keys = new ArrayList<>();
        items.forEach((key, item) -> {
            if (item.lease == id) keys.add(key);
        });
        keys.forEach(this::remove);
    }

    private void expireLeases() throws Exception {
        while (true) {
            Thread.sleep(50);
            synchronized (this) {
                List<Long> ended = new ArrayList<>();
                leases.forEach((id, lease) -> {
                    if (lease.endMillis < Lab.now()) ended.add(id);
                });
                ended.forEach(this::end);
            }
        }
    }
}
