import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
import java.util.regex.*;

/**
 * Case 9: in a fleet above ten, one machine is cut off from the store, and a replica leaves just
 * before the machine is back. Checks that no other machine sends to the replica later than drain_ms.
 */
final class ReturnedWatcher {
    static final int GATEWAYS = 16;
    static final int CLIENTS = 4;
    static final long DRAIN_MILLIS = 3_000;
    static final long CUT_MILLIS = 3_500;
    /** From the beginning of the cut until the entry of the replica is removed. */
    static final long REMOVED_AFTER_MILLIS = 3_190;
    /** From the removal until the replica exits. */
    static final long EXIT_AFTER_MILLIS = DRAIN_MILLIS + 700;

    public static void main(String[] args) throws Exception {
        Path folder = Path.of(args[0]);
        Harness.Log log = new Harness.Log(folder.resolve("record.txt"));
        Map<String, String> bounds = new HashMap<>(Harness.BOUNDS);
        bounds.put("bounds.configuration_apply_ms", "3000");
        bounds.put("bounds.contact_timeout_ms", "4000");
        bounds.put("bounds.drain_ms", "" + DRAIN_MILLIS);
        bounds.put("bounds.retry_budget_slack", "172");
        Harness.Fleet fleet = new Harness.Fleet(GATEWAYS, bounds);
        Map<String, Long> arrivals = new ConcurrentHashMap<>();
        Map<String, Long> sent = new ConcurrentHashMap<>();
        Map<String, String> sentTo = new ConcurrentHashMap<>();
        Map<String, Harness.Answer> answers = new ConcurrentHashMap<>();
        AtomicLong runs = new AtomicLong();
        Harness.Work booking = Harness.logged(log, Harness.plain(60, runs));
        Harness.Work leavingWork =
                (replica, request, connection) -> {
                    arrivals.put(request.header("X-Lavenderhinge-Request-Id"), Harness.now());
                    booking.run(replica, request, connection);
                };
        Harness.Replica leaving = new Harness.Replica(fleet, "i-app-0", "app", 6, leavingWork);
        for (int i = 1; i < 5; i++) new Harness.Replica(fleet, "i-app-" + i, "app", 6, booking);
        // As in the deployment, most replicas are of another service; they write their entries, too.
        for (int i = 0; i < 20; i++) new Harness.Replica(fleet, "i-pool-" + i, "pool", 4, booking);
        fleet.store.put(
                "op/config",
                Harness.config(7, Harness.route("book", "/book/", "non_idempotent", "app", 2_000, 300)));
        fleet.start();
        Harness.sleep(8_000);
        Map<String, String> sources = sources(fleet);
        log.line("machines that take the list of servers from another one: %s", sources);
        if (sources.isEmpty()) System.exit(2);
        List<String> watching = new ArrayList<>(sources.values());
        watching.removeAll(sources.keySet());
        if (watching.isEmpty()) System.exit(2);
        String cut = mostFrequent(watching);
        long end = Harness.now() + 14_000;
        for (Harness.Gateway gateway : fleet.gateways) {
            for (int i = 0; i < CLIENTS; i++) {
                Harness.daemon(
                        () -> {
                            Harness.Client client = new Harness.Client(gateway.ip, gateway.port);
                            while (Harness.now() < end) {
                                Map<String, String> headers = Clients.headers(4_000, false);
                                String id = headers.get("X-Lavenderhinge-Request-Id");
                                sent.put(id, Harness.now());
                                sentTo.put(id, gateway.id);
                                Harness.Answer answer =
                                        client.send("POST", "/book/1", headers, new byte[300], 4_500);
                                answers.put(id, answer);
                                Clients.write(log, "book", gateway, answer);
                                Harness.sleep(40);
                            }
                        });
            }
        }
        Harness.sleep(2_000);
        int index = Integer.parseInt(cut.substring(cut.lastIndexOf('-') + 1)) - 1;
        if (Harness.TROUBLE) fleet.proxies.get(index).cutAfterWatch();
        long cutAt = Harness.now();
        if (Harness.TROUBLE) {
            log.line("%s is cut off from the store", cut);
        }
        Harness.sleep(cutAt + REMOVED_AFTER_MILLIS - Harness.now());
        leaving.leave();
        long removed = Harness.now();
        log.line("the entry of i-app-0 is removed; it goes on serving");
        Harness.sleep(cutAt + CUT_MILLIS - Harness.now());
        if (Harness.TROUBLE) {
            fleet.proxies.get(index).heal();
            log.line("%s reaches the store again", cut);
        }
        Harness.sleep(removed + EXIT_AFTER_MILLIS - Harness.now());
        leaving.exit();
        log.line("i-app-0 exits, %d ms after the removal", Harness.now() - removed);
        Harness.sleep(end + 3_000 - Harness.now());
        long late = 0;
        long lost = 0;
        Map<String, Integer> byMachine = new TreeMap<>();
        for (String id : arrivals.keySet()) {
            long afterMillis = arrivals.get(id) - removed;
            if (afterMillis <= 0) continue;
            Harness.Answer answer = answers.get(id);
            String result = answer == null ? "nothing" : answer.result();
            log.line(
                    "%s was sent to %s %d ms after the removal and reached i-app-0 %d ms after it; its client"
                            + " got %s",
                    id, sentTo.get(id), sent.get(id) - removed, afterMillis, result);
            if (afterMillis <= DRAIN_MILLIS || sentTo.get(id).equals(cut)) continue;
            late++;
            byMachine.merge(sentTo.get(id), 1, Integer::sum);
            if (!result.equals("200")) lost++;
        }
        log.line("requests: %d, runs at i-app-0: %d", answers.size(), arrivals.size());
        log.line(
                "requests of machines other than %s that reached i-app-0 later than drain_ms: %d (%s), of"
                        + " these without a success: %d; rule %s",
                cut, late, byMachine, lost, late > 0 ? "BROKEN" : "held");
        fleet.close();
        System.exit(late > 0 ? 1 : answers.size() >= 2_000 && !arrivals.isEmpty() ? 0 : 2);
    }

    /** Returns the machines that take the list of servers from another one, and from which. */
    private static Map<String, String> sources(Harness.Fleet fleet) throws Exception {
        Pattern line = Pattern.compile("watching the server list is (true|false), its source is ([\\w-]+)");
        Map<String, String> sources = new TreeMap<>();
        for (Harness.Gateway gateway : fleet.gateways) {
            Matcher matcher = line.matcher(Files.readString(gateway.log));
            while (matcher.find()) {
                if (matcher.group(1).equals("false")) sources.put(gateway.id, matcher.group(2));
                else sources.remove(gateway.id);
            }
        }
        return sources;
    }

    private static String mostFrequent(Collection<String> names) {
        return names.stream()
                .max(Comparator.comparing((String name) -> Collections.frequency(names, name)).thenComparing(name -> name))
                .orElseThrow();
    }
}
