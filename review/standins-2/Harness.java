import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Stand-ins for the store, the replicas and the clients, and the start of gateway processes. */
final class Harness {
    static final long T0 = System.nanoTime();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    static long now() {
        return (System.nanoTime() - T0) / 1_000_000;
    }

    /** The lines of record.txt in order of time. */
    static final class Log implements AutoCloseable {
        private final PrintWriter out;

        Log(Path file) throws IOException {
            out = new PrintWriter(Files.newBufferedWriter(file));
        }

        synchronized void line(String format, Object... args) {
            out.printf(Locale.ROOT, "%8d ms  %s%n", now(), String.format(Locale.ROOT, format, args));
            out.flush();
        }

        @Override
        public void close() {
            out.close();
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The head of a request or response, and its body. */
    static final class Message {
        String start;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name);
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String method() {
            return start.split(" ")[0];
        }

        String target() {
            return start.split(" ")[1];
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("within a line");
            }
            if (b == '\n') break;
            if (b != '\r') line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a head, or returns null if the connection ends before it. */
    static Message readHead(InputStream in) throws IOException {
        String start = readLine(in);
        if (start == null) return null;
        Message message = new Message();
        message.start = start;
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("within a head");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
    }

    static Message readRequest(InputStream in) throws IOException {
        Message request = readHead(in);
        if (request != null && request.header("Content-Length") != null) {
            request.body = in.readNBytes(Integer.parseInt(request.header("Content-Length")));
        }
        return request;
    }

    /** Reads the body of a response; throws if it is not complete. */
    static byte[] readBody(InputStream in, Message head) throws IOException {
        String length = head.header("Content-Length");
        if (length != null) {
            byte[] body = in.readNBytes(Integer.parseInt(length));
            if (body.length < Integer.parseInt(length)) throw new EOFException("within the body");
            return body;
        }
        if (!"chunked".equalsIgnoreCase(head.header("Transfer-Encoding"))) return in.readAllBytes();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("within the body");
            int size = Integer.parseInt(line.trim(), 16);
            byte[] chunk = in.readNBytes(size);
            if (chunk.length < size) throw new EOFException("within a chunk");
            body.write(chunk);
            readLine(in);
            if (size == 0) return body.toByteArray();
        }
    }

    /** A TCP listener with a thread for each connection. */
    static class Listener implements AutoCloseable {
        final ServerSocket socket;
        final Set<Socket> open = ConcurrentHashMap.newKeySet();

        Listener(String ip, ConnectionHandler handler) throws IOException {
            socket = new ServerSocket();
            socket.bind(new InetSocketAddress(ip, 0), 512);
            daemon(() -> accept(handler));
        }

        private void accept(ConnectionHandler handler) {
            while (!socket.isClosed()) {
                try {
                    Socket connection = socket.accept();
                    connection.setTcpNoDelay(true);
                    open.add(connection);
                    daemon(() -> serve(connection, handler));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket connection, ConnectionHandler handler) {
            try (connection) {
                handler.handle(connection);
            } catch (IOException e) {
                // The other end has closed the connection.
            } finally {
                open.remove(connection);
            }
        }

        int port() {
            return socket.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            socket.close();
            for (Socket connection : open) connection.close();
        }
    }

    interface ConnectionHandler {
        void handle(Socket connection) throws IOException;
    }

    /** The platform's store, as PROTOCOL.md describes it. */
    static final class Store {
        private static final class Item {
            String value;
            long revision;
            long created;
            long lease;
        }

        private record Change(String key, long revision, boolean removed) {}

        private final TreeMap<String, Item> items = new TreeMap<>();
        private final ArrayList<Change> history = new ArrayList<>();
        private final Map<Long, long[]> leases = new HashMap<>();
        private long revision = 100;
        private long lastLease = 7000;
        private final Listener listener;

        Store(String ip) throws IOException {
            listener = new Listener(ip, this::serve);
            daemon(this::expireLeases);
        }

        String address() {
            return listener.socket.getInetAddress().getHostAddress() + ":" + listener.port();
        }

        synchronized long put(String key, String value) {
            return put(key, encode(value), 0);
        }

        private long put(String key, String encoded, long lease) {
            Item item = items.computeIfAbsent(key, k -> new Item());
            item.value = encoded;
            item.revision = ++revision;
            if (item.created == 0) item.created = revision;
            item.lease = lease;
            history.add(new Change(key, revision, false));
            notifyAll();
            return revision;
        }

        synchronized void remove(String key) {
            if (items.remove(key) == null) return;
            history.add(new Change(key, ++revision, true));
            notifyAll();
        }

        synchronized String get(String key) {
            Item item = items.get(key);
            return item == null
                    ? null
                    : new String(Base64.getDecoder().decode(item.value), StandardCharsets.UTF_8);
        }

        private static String encode(String value) {
            return Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        }

        private void expireLeases() {
            while (true) {
                sleep(50);
                synchronized (this) {
                    long now = now();
                    leases.entrySet()
                            .removeIf(
                                    lease -> {
                                        if (lease.getValue()[1] > now) return false;
                                        List<String> keys = new ArrayList<>();
                                        items.forEach(
                                                (key, item) -> {
                                                    if (item.lease == lease.getKey()) keys.add(key);
                                                });
                                        keys.forEach(this::remove);
                                        return true;
                                    });
                }
            }
        }

        private void serve(Socket connection) throws IOException {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            while (true) {
                Message request = readRequest(in);
                if (request == null) return;
                String[] answer = answer(request);
                byte[] body = answer[1].getBytes(StandardCharsets.UTF_8);
                String head =
                        "HTTP/1.1 " + answer[0] + " x\r\nContent-Type: application/json\r\n"
                                + "Content-Length: " + body.length + "\r\n\r\n";
                OutputStream out = connection.getOutputStream();
                out.write(concat(head.getBytes(StandardCharsets.ISO_8859_1), body));
                out.flush();
            }
        }

        private String[] answer(Message request) {
            String path = request.target().split("\\?")[0];
            Map<String, String> query = query(request.target());
            String body = new String(request.body, StandardCharsets.UTF_8);
            if (path.equals("/kv-key")) return getItem(query.get("key"));
            if (path.equals("/kv-range")) return range(query.getOrDefault("prefix", ""));
            if (path.equals("/kv-watch")) return watch(query);
            if (path.equals("/kv-txn")) return transaction(body);
            if (path.equals("/kv-lease")) return grantLease(body);
            if (path.startsWith("/kv-keep/")) return keepLease(Long.parseLong(path.substring(9)));
            return new String[] {"404", "{}"};
        }

        private synchronized String[] getItem(String key) {
            Item item = items.get(key);
            return item == null
                    ? new String[] {"404", "{}"}
                    : new String[] {"200", json(key, item, ",\"at\":" + revision)};
        }

        private synchronized String[] range(String prefix) {
            StringJoiner list = new StringJoiner(",", "[", "]");
            items.forEach(
                    (key, item) -> {
                        if (key.startsWith(prefix)) list.add(json(key, item, ""));
                    });
            return new String[] {
                "200", "{\"items\":" + list + ",\"truncated\":false,\"at\":" + revision + "}"
            };
        }

        private synchronized String[] watch(Map<String, String> query) {
            String prefix = query.getOrDefault("prefix", "");
            long after = Long.parseLong(query.get("after"));
            long endMillis = now() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
            while (true) {
                StringJoiner events = new StringJoiner(",", "[", "]");
                boolean any = false;
                for (Change change : history) {
                    if (change.revision() <= after || !change.key().startsWith(prefix)) continue;
                    Item item = items.get(change.key());
                    // Only the newest write of a key is kept.
                    if (!change.removed() && (item == null || item.revision != change.revision()))
                        continue;
                    events.add(
                            change.removed()
                                    ? "{\"key\":\"" + change.key() + "\",\"revision\":"
                                            + change.revision() + ",\"removed\":true}"
                                    : json(change.key(), item, ""));
                    any = true;
                }
                long leftMillis = endMillis - now();
                if (any || leftMillis <= 0) {
                    return new String[] {
                        "200", "{\"events\":" + events + ",\"at\":" + revision + "}"
                    };
                }
                try {
                    wait(leftMillis);
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }
        }

        private synchronized String[] transaction(String body) {
            List<Map<String, String>> expected = objects(body, "expected_revision");
            StringJoiner current = new StringJoiner(",", "[", "]");
            boolean holds = true;
            for (Map<String, String> row : expected) {
                Item item = items.get(row.get("key"));
                long known = item == null ? 0 : item.revision;
                if (known != Long.parseLong(row.get("revision"))) holds = false;
                if (item != null) current.add(json(row.get("key"), item, ""));
            }
            if (!holds) return new String[] {"412", "{\"items\":" + current + "}"};
            for (Map<String, String> write : objects(body, "writes")) {
                long lease = Long.parseLong(write.getOrDefault("lease", "0"));
                if (lease != 0 && !leases.containsKey(lease)) return new String[] {"404", "{}"};
                put(write.get("key"), write.get("value"), lease);
            }
            return new String[] {"200", "{\"revision\":" + revision + "}"};
        }

        /** Reads the flat objects of the list [field]; the bodies of the project have no others. */
        private static List<Map<String, String>> objects(String body, String field) {
            List<Map<String, String>> found = new ArrayList<>();
            int from = body.indexOf("\"" + field + "\"");
            if (from < 0) return found;
            String list = body.substring(body.indexOf('[', from) + 1, body.indexOf(']', from));
            for (String object : list.split("\\}")) {
                Map<String, String> fields = new HashMap<>();
                java.util.regex.Matcher matcher =
                        java.util.regex.Pattern.compile("\"(\\w+)\":(?:\"([^\"]*)\"|(-?\\d+))")
                                .matcher(object);
                while (matcher.find()) {
                    fields.put(
                            matcher.group(1),
                            matcher.group(2) != null ? matcher.group(2) : matcher.group(3));
                }
                if (!fields.isEmpty()) found.add(fields);
            }
            return found;
        }

        private synchronized String[] grantLease(String body) {
            long lifetime = Long.parseLong(body.replaceAll("\\D", ""));
            leases.put(++lastLease, new long[] {lifetime, now() + lifetime});
            return new String[] {
                "200", "{\"lease\":" + lastLease + ",\"lifetime_ms\":" + lifetime + "}"
            };
        }

        private synchronized String[] keepLease(long id) {
            long[] lease = leases.get(id);
            if (lease == null) return new String[] {"404", "{}"};
            lease[1] = now() + lease[0];
            return new String[] {"200", "{\"lifetime_ms\":" + lease[0] + "}"};
        }

        private static String json(String key, Item item, String more) {
            return "{\"key\":\"" + key + "\",\"value\":\"" + item.value + "\",\"revision\":"
                    + item.revision + ",\"created\":" + item.created + ",\"lease\":" + item.lease
                    + more + "}";
        }
    }

    /** Carries one machine's connections to the store, and can be cut. */
    static final class Proxy {
        private final Listener listener;
        private final Store store;
        private volatile long cutMillis = Long.MAX_VALUE;
        private volatile boolean isCut;
        private volatile boolean isCutDue;

        Proxy(String ip, Store store) throws IOException {
            this.store = store;
            listener = new Listener(ip, this::serve);
        }

        String address() {
            return listener.socket.getInetAddress().getHostAddress() + ":" + listener.port();
        }

        /**
         * Nothing passes any more from the moment at which the machine has sent its next watch, and
         * nothing tells either side.
         */
        void cutAfterWatch() {
            isCutDue = true;
            while (isCutDue) sleep(1);
        }

        /**
         * New connections work again. Those that were open stay silent: what was sent on them
         * meanwhile is sent again only after a pause that TCP has doubled several times.
         */
        void heal() {
            isCut = false;
        }

        private void cut() {
            isCut = true;
            cutMillis = now();
            isCutDue = false;
        }

        private void serve(Socket near) throws IOException {
            long openedMillis = now();
            while (isCut) sleep(5);
            String[] target = store.address().split(":");
            try (Socket far = new Socket(target[0], Integer.parseInt(target[1]))) {
                far.setTcpNoDelay(true);
                daemon(() -> pass(near, far, openedMillis));
                pass(far, near, openedMillis);
            }
        }

        private void pass(Socket from, Socket to, long openedMillis) {
            byte[] bytes = new byte[65_536];
            try {
                while (true) {
                    int count = from.getInputStream().read(bytes);
                    while (isCut || openedMillis < cutMillis && cutMillis != Long.MAX_VALUE) sleep(5);
                    if (count < 0) break;
                    to.getOutputStream().write(bytes, 0, count);
                    String text = new String(bytes, 0, count, StandardCharsets.ISO_8859_1);
                    if (isCutDue && text.startsWith("GET /kv-watch")) cut();
                }
                to.shutdownOutput();
            } catch (IOException e) {
                // One side has closed the connection.
            }
        }
    }

    static byte[] concat(byte[] a, byte[] b) {
        byte[] all = Arrays.copyOf(a, a.length + b.length);
        System.arraycopy(b, 0, all, a.length, b.length);
        return all;
    }

    static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark < 0) return query;
        for (String pair : target.substring(mark + 1).split("&")) {
            int equals = pair.indexOf('=');
            query.put(
                    pair.substring(0, equals),
                    URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    /** A gateway process, started with the command of the deploy file. */
    static final class Gateway {
        final String id;
        final String ip;
        final int port;
        final int readyPort;
        final List<String> command;
        final Path log;
        Process process;

        Gateway(int number, String net, int[] ports, String store, Path folder, Map<String, String> bounds)
                throws IOException {
            id = "front-a-" + number;
            ip = net + (10 + number);
            port = ports[0];
            readyPort = ports[1];
            log = folder.resolve(id + ".log");
            Path settings = folder.resolve(id + ".ini");
            Map<String, String> values = new HashMap<>(bounds);
            values.put("node_name", id);
            values.put("zone", "a");
            values.put("region", "r");
            values.put("listen_addresses.front", ip + ":" + port);
            values.put("listen_addresses.ready", ip + ":" + readyPort);
            values.put("ip_address", ip);
            values.put("internal_port_range.0", "" + ports[2]);
            values.put("platform.address", store);
            values.put("seed_addresses", net + "11:" + ports[3] + "," + net + "12:" + ports[3]);
            Files.writeString(settings, render(Files.readString(Path.of(deploy("template"))), values));
            command = new ArrayList<>();
            for (String word : deploy("run").split(" ")) {
                command.add(
                        word.equals("/etc/lavenderhinge/node.toml")
                                ? settings.toString()
                                : word.equals("{{listen_addresses.front}}") ? ip + ":" + port : word);
            }
        }

        private static String deploy(String key) throws IOException {
            for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
                if (line.startsWith(key + " = \"")) {
                    return line.substring(key.length() + 4, line.length() - 1);
                }
            }
            throw new IllegalStateException("deploy/system.toml has no " + key);
        }

        /** Fills in the template as DEPLOY.md describes, as far as the project's template uses it. */
        private static String render(String template, Map<String, String> values) {
            String text = template.replaceAll("\\{\\{#zones\\}\\}.*\\{\\{/zones\\}\\}", "a=r");
            text = text.replaceAll("(?s)\\{\\{#bounds\\.(\\w+)\\}\\}.*?\\{\\{/bounds\\.\\1\\}\\}\n?", "");
            java.util.regex.Matcher matcher =
                    java.util.regex.Pattern.compile("\\{\\{([\\w.]+)\\}\\}").matcher(text);
            return matcher.replaceAll(found -> values.getOrDefault(found.group(1), ""));
        }

        void start() throws IOException {
            process =
                    new ProcessBuilder(command)
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                            .start();
        }

        /** The most memory that the process has had, as the system tells it. */
        String peakMemory() throws IOException {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                if (line.startsWith("VmHWM:")) return line.substring(6).trim();
            }
            return "unknown";
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, readyPort), 500);
                socket.setSoTimeout(1000);
                socket.getOutputStream()
                        .write("GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
                Message head = readHead(new BufferedInputStream(socket.getInputStream()));
                return head != null && head.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }
    }

    static final Map<String, String> BOUNDS =
            Map.ofEntries(
                    Map.entry("bounds.grace_period_s", "8"),
                    Map.entry("bounds.configuration_apply_ms", "2000"),
                    Map.entry("bounds.contact_timeout_ms", "3000"),
                    Map.entry("bounds.drain_ms", "2000"),
                    Map.entry("bounds.retry_budget_ratio", "0.2"),
                    Map.entry("bounds.retry_budget_slack", "58"),
                    Map.entry("bounds.quota_window_s", "8"),
                    Map.entry("bounds.quota_overage", "0.1"),
                    Map.entry("bounds.quota_slack", "190000"));

    static int[] freePorts(String ip, int count) throws IOException {
        ServerSocket[] sockets = new ServerSocket[count];
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            sockets[i] = new ServerSocket();
            sockets[i].bind(new InetSocketAddress(ip, 0));
            ports[i] = sockets[i].getLocalPort();
        }
        for (ServerSocket socket : sockets) socket.close();
        return ports;
    }

    /** A loopback network of this run, such as "127.33.7.". */
    static String network() {
        long pid = ProcessHandle.current().pid();
        return "127." + (20 + pid % 200) + "." + (1 + pid / 200 % 250) + ".";
    }

    /** The store and the gateways of one run. */
    static final class Fleet implements AutoCloseable {
        final String net = network();
        final Store store;
        final List<Gateway> gateways = new ArrayList<>();
        /** The way of each gateway to the store. */
        final List<Proxy> proxies = new ArrayList<>();
        final Path folder;

        Fleet(int size) throws IOException {
            this(size, BOUNDS);
        }

        Fleet(int size, Map<String, String> bounds) throws IOException {
            folder = Files.createTempDirectory("review");
            store = new Store(net + "1");
            int[] ports = freePorts(net + "11", 4);
            for (int i = 1; i <= size; i++) {
                Proxy proxy = new Proxy(net + "2", store);
                proxies.add(proxy);
                gateways.add(new Gateway(i, net, ports, proxy.address(), folder, bounds));
            }
            Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        }

        void start() throws IOException {
            if (!Files.exists(Path.of("target/lavenderhinge.jar"))) {
                System.err.println("the build of the deploy file is missing");
                System.exit(2);
            }
            for (Gateway gateway : gateways) gateway.start();
            long endMillis = now() + 30_000;
            for (Gateway gateway : gateways) {
                while (!gateway.isReady()) {
                    if (now() > endMillis || !gateway.process.isAlive()) {
                        System.err.println(id(gateway) + " is not ready");
                        System.exit(2);
                    }
                    sleep(100);
                }
            }
        }

        private static String id(Gateway gateway) {
            return gateway.id;
        }

        @Override
        public void close() {
            for (Gateway gateway : gateways) {
                if (gateway.process != null) gateway.process.destroyForcibly();
            }
            File[] files = folder.toFile().listFiles();
            if (files != null) for (File file : files) file.delete();
            folder.toFile().delete();
        }
    }

    /** Runs a request at a replica and writes its answer. */
    interface Work {
        void run(Replica replica, Message request, Socket connection) throws IOException;
    }

    /** A replica that registers itself and writes its entry about every heartbeat interval. */
    static final class Replica {
        static final long HEARTBEAT_MILLIS = 1_200;
        final Fleet fleet;
        final String id;
        final String service;
        final int slots;
        final String version;
        final Listener listener;
        final long born = System.currentTimeMillis();
        volatile String state = "ready";
        volatile boolean isGone;
        private int sequence;

        Replica(Fleet fleet, String id, String service, int slots, Work work) throws IOException {
            this(fleet, id, service, slots, "v1", work);
        }

        Replica(Fleet fleet, String id, String service, int slots, String version, Work work)
                throws IOException {
            this.fleet = fleet;
            this.version = version;
            this.id = id;
            this.service = service;
            this.slots = slots;
            listener = new Listener(fleet.net + "3", connection -> serve(connection, work));
            beat();
            daemon(
                    () -> {
                        while (true) {
                            sleep(HEARTBEAT_MILLIS);
                            if (!isGone) beat();
                        }
                    });
        }

        String address() {
            return fleet.net + "3:" + listener.port();
        }

        synchronized void beat() {
            if (isGone) return;
            fleet.store.put(
                    "servers/" + id, entry(service, address(), version, slots, state, born, ++sequence));
        }

        /** Waits until the next heartbeat has been written. */
        void awaitBeat() {
            int before = sequence();
            while (sequence() == before) sleep(5);
        }

        private synchronized int sequence() {
            return sequence;
        }

        /** Leaves the store and goes on serving. */
        synchronized void leave() {
            isGone = true;
            fleet.store.remove("servers/" + id);
        }

        /** Leaves the store and closes every connection. */
        synchronized void exit() throws IOException {
            isGone = true;
            fleet.store.remove("servers/" + id);
            listener.close();
        }

        private void serve(Socket connection, Work work) throws IOException {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            while (true) {
                Message request = readRequest(in);
                if (request == null) return;
                String expected = request.header("X-Lavenderhinge-Expected-Instance");
                if (expected != null && !expected.equals(id)) {
                    String head =
                            "HTTP/1.1 421 Misdirected Request\r\nX-Lavenderhinge-Instance-Id: " + id
                                    + "\r\nContent-Length: 0\r\n\r\n";
                    connection.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
                } else {
                    work.run(this, request, connection);
                }
            }
        }

        /** The start of an answer of this replica, up to its own length. */
        String head(int status, Message request, String type) {
            return "HTTP/1.1 " + status + " x\r\nContent-Type: " + type
                    + "\r\nX-Lavenderhinge-Request-Id: " + request.header("X-Lavenderhinge-Request-Id")
                    + "\r\nX-Lavenderhinge-Server-Signature: s." + id + "\r\n";
        }
    }

    static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Writes each run of [work] to [log]. */
    static Work logged(Log log, Work work) {
        return (replica, request, connection) -> {
            log.line("%s runs at %s", request.header("X-Lavenderhinge-Request-Id"), replica.id);
            work.run(replica, request, connection);
        };
    }

    /** A stream of three events within [millis]. */
    static Work stream(long millis, AtomicLong runs) {
        return (replica, request, connection) -> {
            runs.incrementAndGet();
            write(
                    connection,
                    replica.head(200, request, "text/event-stream") + "Transfer-Encoding: chunked\r\n\r\n");
            for (int id = 1; id <= 3; id++) {
                sleep(millis / 3);
                String event = "id: " + id + "\ndata: piece " + id + "\n\n";
                write(connection, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            }
            write(connection, "0\r\n\r\n");
        };
    }

    /** A plain answer after [millis]. */
    static Work plain(long millis, AtomicLong runs) {
        return (replica, request, connection) -> {
            runs.incrementAndGet();
            sleep(millis);
            write(connection, replica.head(200, request, "text/plain") + "Content-Length: 2\r\n\r\nok");
        };
    }

    static String route(
            String name, String prefix, String kind, String service, long timeoutMillis, long targetMillis) {
        return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"prefix\":\"" + prefix + "\",\"kind\":\""
                + kind + "\",\"timeout_ms\":" + timeoutMillis + ",\"target_latency_ms\":" + targetMillis
                + ",\"priority\":0,\"service\":\"" + service + "\",\"attempts\":"
                + (kind.equals("idempotent") ? 2 : 1)
                + ",\"allow_anonymous\":false,\"session_affinity\":true,\"stream_resumption\":false"
                + ",\"target_gap_ms\":500}";
    }

    /** A configuration with the services and limits of a small deployment, and no tenants. */
    static String config(int version, String... routes) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
                + "],\"services\":[{\"name\":\"pool\",\"health_check_path\":\"/health\","
                + "\"max_connections\":370,\"protocol\":\"h1\",\"tls\":false},{\"name\":\"app\","
                + "\"health_check_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\","
                + "\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }

    static String entry(
            String service, String address, String version, int slots, String state, long born, int sequence) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"a\",\"version\":\""
                + version + "\",\"slots\":" + slots + ",\"state\":\"" + state
                + "\",\"cold_remaining_ms\":0,\"sequence\":" + sequence + ",\"born\":" + born + "}";
    }

    /** What a client has got for one request. */
    static final class Answer {
        /** The status; 0 if there was no head, and then [error] says why. */
        int status;
        Message head;
        byte[] body = new byte[0];
        String error;
        String id;
        long sentMillis;
        long endMillis;

        String result() {
            return status == 0 ? error : "" + status;
        }

        /** The time after which the client may come back, as far as the answer states one. */
        long retryAfterMillis() {
            String seconds = head == null ? null : head.header("Retry-After");
            return seconds == null ? 0 : (long) (Double.parseDouble(seconds) * 1_000);
        }
    }

    /** A client connection that is kept between requests. */
    static final class Client {
        final String ip;
        final int port;
        private Socket socket;
        private InputStream in;

        Client(String ip, int port) {
            this.ip = ip;
            this.port = port;
        }

        Answer send(String method, String target, Map<String, String> headers, byte[] body, int timeoutMillis) {
            Answer answer = new Answer();
            answer.id = headers.get("X-Lavenderhinge-Request-Id");
            answer.sentMillis = now();
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.setTcpNoDelay(true);
                    socket.connect(new InetSocketAddress(ip, port), 1000);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                socket.setSoTimeout(timeoutMillis);
                StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\nHost: h.example\r\n");
                headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
                if (body.length > 0) head.append("Content-Length: ").append(body.length).append("\r\n");
                head.append("\r\n");
                socket.getOutputStream().write(concat(head.toString().getBytes(StandardCharsets.ISO_8859_1), body));
                answer.head = readHead(in);
                if (answer.head == null) throw new EOFException("closed without an answer");
                answer.status = answer.head.status();
                answer.body = readBody(in, answer.head);
                if ("close".equalsIgnoreCase(answer.head.header("Connection"))) close();
            } catch (IOException e) {
                answer.error = e.toString();
                close();
            }
            answer.endMillis = now();
            return answer;
        }

        void close() {
            try {
                if (socket != null) socket.close();
            } catch (IOException e) {
                // Nothing is left to do.
            }
            socket = null;
        }
    }

    static String newId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }
}
