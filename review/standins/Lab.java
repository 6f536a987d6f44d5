import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What all cases share: the record, time, loopback addresses, and the project's processes. */
final class Lab {
    interface Body {
        void run() throws Exception;
    }

    /** Exit codes of a case. */
    static final int HELD = 0, BROKEN = 1, COULD_NOT_RUN = 2;

    private static final long START_NANOS = System.nanoTime();
    private static final List<Gateway> gateways = new ArrayList<>();
    private static PrintWriter record;
    private static Path directory;

    /** True unless TROUBLE=0 asks for the same run without the disruption. */
    static final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));

    /** First two octets of the loopback addresses of this run. */
    private static final String network =
            "127." + (16 + new Random().nextInt(200)) + "." + (1 + new Random().nextInt(250)) + ".";

    private Lab() {}

    /** Runs a case that returns its exit code, and ends all processes in any event. */
    static void run(String[] arguments, java.util.concurrent.Callable<Integer> body) {
        int code = COULD_NOT_RUN;
        try {
            directory = Files.createTempDirectory("lavenderhinge-review-");
            record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[0], "record.txt")));
            Runtime.getRuntime().addShutdownHook(new Thread(() -> gateways.forEach(Gateway::kill)));
            note("trouble: " + hasTrouble);
            code = body.call();
        } catch (Exception e) {
            note("the case could not run: " + e);
            e.printStackTrace();
        } finally {
            gateways.forEach(Gateway::kill);
            deleteDirectory();
            note("exit " + code);
            record.close();
        }
        System.exit(code);
    }

    private static void deleteDirectory() {
        if (System.getenv("KEEP") != null) {
            System.out.println("kept " + directory);
            return;
        }
        try (var paths = Files.walk(directory)) {
            paths.sorted(java.util.Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            note("temporary files were left: " + e);
        }
    }

    /** Milliseconds since the start of the case. */
    static long now() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    static synchronized void note(String line) {
        String stamped = String.format("%7d ms  %s", now(), line);
        if (record != null) record.println(stamped);
    }

    /** Notes a line and prints it. */
    static void report(String line) {
        note(line);
        System.out.println(line);
    }

    static Thread thread(String name, Body body) {
        Thread thread = new Thread(() -> {
            try {
                body.run();
            } catch (IOException e) {
                // A connection has ended.
            } catch (Exception e) {
                e.printStackTrace();
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Condition {
        boolean holds() throws Exception;
    }

    static void await(String what, long limitMillis, Condition condition) throws Exception {
        long endMillis = now() + limitMillis;
        while (!condition.holds()) {
            if (now() > endMillis) throw new IllegalStateException("waited in vain until " + what);
            Thread.sleep(20);
        }
    }

    static String ip(int host) {
        return network + host;
    }

    /** A machine with one process of the project, started with the commands of the deploy file. */
    static final class Gateway {
        final String name;
        final String ip;
        final String zone;
        final Path log;
        private final Map<String, String> fields;
        private Process process;

        /** Sets the machine up; {@code bounds} overrides the defaults of a small deployment. */
        Gateway(String name, int host, String zone, String store, Map<String, String> bounds, String seeds) {
            this.name = name;
            this.ip = ip(host);
            this.zone = zone;
            log = directory.resolve(name + ".log");
            fields = new java.util.HashMap<>(Map.of(
                    "node_name", name,
                    "ip_address", ip,
                    "zone", zone,
                    "region", "west-tx",
                    "internal_port_range.0", "7600",
                    "listen_addresses.front", ip + ":8221",
                    "listen_addresses.ready", ip + ":8224",
                    "platform.address", store,
                    "seed_addresses", seeds));
            bounds.forEach((key, value) -> fields.put("bounds." + key, value));
            gateways.add(this);
        }

        String front() {
            return ip + ":8221";
        }

        void start() throws IOException {
            Path settings = directory.resolve(name + ".ini");
            Files.writeString(settings, fill(Files.readString(Path.of("deploy/instance.ini"))));
            List<String> command = new ArrayList<>();
            for (String word : runCommand().split(" ")) {
                command.add(word.equals("/etc/lavenderhinge/node.toml") ? settings.toString() : fill(word));
            }
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().keySet().retainAll(java.util.Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("LAVENDERHINGE_CONFIG", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            note(name + " starts at " + ip + ", pid " + process.pid());
        }

        private static String runCommand() throws IOException {
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                    .matcher(Files.readString(Path.of("deploy/system.toml")));
            if (!run.find()) throw new IOException("the deploy file has no run command");
            return run.group(1);
        }

        private String fill(String text) {
            return Pattern.compile("\\{\\{([^}]*)}}").matcher(text)
                    .replaceAll(match -> Matcher.quoteReplacement(fields.get(match.group(1))));
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, 8224), 500);
                socket.setSoTimeout(1_000);
                socket.getOutputStream().write(
                        Http.request("GET", "/readiness", Map.of("Host", ip), new byte[0]));
                return Http.read(socket.getInputStream(), true).status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        long pid() {
            return process.pid();
        }

        void kill() {
            if (process == null) return;
            process.destroyForcibly();
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        void signal(String signal) throws Exception {
            note("SIG" + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }
    }

    /** Forwards connections to one address; silenced, it holds all bytes until it is heard again. */
    static final class Proxy {
        private final ServerSocket listener = new ServerSocket();
        private final InetSocketAddress target;
        private final AtomicBoolean isSilent = new AtomicBoolean();

        Proxy(String ip, String target) throws IOException {
            String[] parts = target.split(":");
            this.target = new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
            listener.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 1024);
            thread("proxy", this::accept);
        }

        String address() {
            return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
        }

        /** Nothing passes in either direction, on open connections and on new ones. */
        void setSilent(boolean silent) {
            isSilent.set(silent);
        }

        private void accept() throws IOException {
            while (true) {
                Socket near = listener.accept();
                Socket far = new Socket();
                far.connect(target);
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                thread("proxy out", () -> copy(near, far));
                thread("proxy in", () -> copy(far, near));
            }
        }

        private void awaitSound() {
            while (isSilent.get()) LockSupport.parkNanos(5_000_000);
        }

        private void copy(Socket from, Socket to) throws IOException {
            byte[] buffer = new byte[65_536];
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            try {
                int count;
                while ((count = in.read(buffer)) >= 0) {
                    awaitSound();
                    out.write(buffer, 0, count);
                }
            } finally {
                // The end of a connection crosses a cut no sooner than its bytes.
                awaitSound();
                from.close();
                to.close();
            }
        }
    }
}
