package org.cypressweir.fleet.transport;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.TimeUnit;
import org.cypressweir.testkit.PeerStub;
import org.cypressweir.testkit.SidecarConfigurations;
import org.cypressweir.testkit.SidecarProcesses;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The fleet's connections and discovery calls, as counted by the servers, stay within their limits during faults. */
@Timeout(180)
class SharesTest {

    private static final int MEMBERS = 5;
    private static final int SERVERS = 4;
    private static final int CONNECTIONS_PER_SERVER = 15;
    private static final int MAX_CONNECTIONS = SERVERS * CONNECTIONS_PER_SERVER;
    private static final double LIST_CALLS_PER_SECOND = 10;
    private static final int CONN_IDLE_MILLIS = 2_000;
    /**
     * How long a share is held, by the sidecar's settings for a pause of one second. What it allowed is released after
     * 2.2 times that, and 1.1 idle time-outs.
     */
    private static final long HOLD_MILLIS = 1_934;

    private static final long RELEASE_MILLIS = HOLD_MILLIS * 22 / 10 + CONN_IDLE_MILLIS * 11 / 10;
    /** Time for a round of requests, for closing surplus connections after it, and for counting the open ones. */
    private static final long ROUND_MILLIS = 1_500;
    /** Surplus connections are closed in the event loop iteration that makes them surplus; a tenth of this suffices. */
    private static final long SETTLE_MILLIS = 500;

    /** Calls that arrived at most this long before another may have been delayed by the same stall of the stub. */
    private static final long STALL_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(2);

    /**
     * A discovery call for the endpoint list.
     *
     * @param stallNanos total time for which the stub's process had been stalled by then
     */
    private record ListCall(long receivedAt, long stallNanos) {}

    @TempDir
    Path folder;

    private final List<PeerStub> servers = new ArrayList<>();
    private final Queue<ListCall> listCalls = new ConcurrentLinkedQueue<>();
    private final Set<Integer> activeProcesses = new ConcurrentSkipListSet<>();
    private final HttpClient client = HttpClient.newHttpClient();
    private SidecarProcesses processes;
    private int startCount;
    private int lastRequestId;
    private int maxOpenConnections;

    @AfterEach
    void close() throws Exception {
        processes.close();
        for (PeerStub server : servers) {
            server.close();
        }
    }

    private void start(int i) throws Exception {
        processes.start(i);
        startCount++;
    }

    private void startProcesses() throws Exception {
        for (int i = 0; i < SERVERS; i++) {
            PeerStub server = new PeerStub(seen -> {
                // Delays responses so that the requests of a round overlap and each needs its own connection.
                try {
                    TimeUnit.MILLISECONDS.sleep(40);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                seen.reply("200 OK", "", "ok");
            });
            server.setIdleTimeoutMillis(CONN_IDLE_MILLIS);
            servers.add(server);
        }
        long seed = System.nanoTime();
        System.out.println("relay seed " + seed);
        processes = new SidecarProcesses(folder, seed, MEMBERS, 1_000, servers.toArray(PeerStub[]::new));
        String list = SidecarConfigurations.json(
                SidecarConfigurations.list(2, true, "in_service", servers.toArray(PeerStub[]::new)));
        processes.discovery.script(seen -> {
            listCalls.add(new ListCall(System.nanoTime(), processes.schedulingDelayNanos()));
            seen.reply("200 OK", "", list);
        });
        processes.setSeedCount(3);
        processes.editConfiguration(
                text -> text.replace("\"conn_idle_us\":15000000", "\"conn_idle_us\":" + CONN_IDLE_MILLIS * 1_000));
        processes.editOperatorConfiguration(text -> text + "[fleet]\ninstances = \"members\"\nmost = " + MEMBERS
                + "\nidle_per_server = " + CONNECTIONS_PER_SERVER + "\nlist_rate = " + LIST_CALLS_PER_SECOND + "\n");
        for (int i = 0; i < MEMBERS; i++) {
            start(i);
            activeProcesses.add(i);
        }
        for (int i : activeProcesses) {
            processes.await(15_000, "ready", () -> processes.ask(i, "READY").equals("YES\n"));
        }
    }

    /** Sends as many concurrent requests by each active process as it could keep connections; counts the open ones. */
    private int sendRound() throws Exception {
        List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
        for (int i : activeProcesses) {
            for (int k = 0; k < MAX_CONNECTIONS / 2; k++) {
                responses.add(client.sendAsync(
                        HttpRequest.newBuilder(URI.create("http://127.0.0.1:"
                                        + processes.clientAddress(i).getPort() + "/search/k"))
                                .header("Tenant", "acme")
                                .header("Request-Id", String.format("%016x", ++lastRequestId))
                                .header("Request-Timeout-Ms", "3000")
                                .build(),
                        HttpResponse.BodyHandlers.ofString()));
            }
        }
        for (CompletableFuture<HttpResponse<String>> response : responses) {
            response.get(30, TimeUnit.SECONDS);
        }
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
        int open = servers.stream().mapToInt(PeerStub::openConnections).sum();
        maxOpenConnections = Math.max(maxOpenConnections, open);
        assertTrue(
                open <= MAX_CONNECTIONS,
                () -> open + " connections are open, of " + MAX_CONNECTIONS + " allowed for the fleet\n"
                        + describeShares());
        return open;
    }

    private String describeShares() {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < MEMBERS; i++) {
            all.append(SidecarProcesses.name(i))
                    .append(' ')
                    .append(processes.members(i).get("share"))
                    .append('\n');
        }
        return all.append(processes.logs()).toString();
    }

    /** Sends rounds until so many connections are in use, within so many milliseconds. */
    private void awaitConnections(int connections, String phase, long millis) throws Exception {
        long tookMillis = processes.await(
                millis + 3 * ROUND_MILLIS, phase + ": the fleet uses " + connections, () -> sendRound() >= connections);
        System.out.println(phase + ": " + connections + " of " + MAX_CONNECTIONS + " used after " + tookMillis + " ms");
    }

    private void sendRounds(long millis) throws Exception {
        for (long until = System.nanoTime() + millis * 1_000_000; System.nanoTime() < until; ) {
            sendRound();
        }
    }

    /**
     * No process requests the list sooner than its share of the rate allows, except for one call each. Calls that
     * arrive while the stub's process is stalled are recorded together: they were sent over a time that was longer by
     * the duration of the stall.
     */
    private void assertListRate() {
        List<ListCall> all = List.copyOf(listCalls);
        for (int from = 0; from < all.size(); from++) {
            long stallNanosBefore = stallNanosBefore(all, from);
            for (int to = from; to < all.size(); to++) {
                long stalledNanos = all.get(to).stallNanos() - stallNanosBefore;
                long sentWithin = all.get(to).receivedAt() - all.get(from).receivedAt() + stalledNanos;
                double allowed = LIST_CALLS_PER_SECOND * sentWithin / 1e9 + startCount;
                assertTrue(
                        to - from + 1 <= allowed + 1,
                        (to - from + 1) + " calls, " + allowed + " allowed, including those for " + stalledNanos
                                + " ns of stalls");
            }
        }
    }

    /** Total time for which the stub's process had been stalled two seconds before that call. */
    private static long stallNanosBefore(List<ListCall> all, int from) {
        long stalledNanos = 0;
        for (int i = 0; i < from && all.get(from).receivedAt() - all.get(i).receivedAt() >= STALL_WINDOW_NANOS; i++) {
            stalledNanos = all.get(i).stallNanos();
        }
        return stalledNanos;
    }

    private long listCallsPerSecond(long millis) throws Exception {
        int before = listCalls.size();
        long startedAt = System.nanoTime();
        sendRounds(millis);
        return Math.round((listCalls.size() - before) * 1e9 / (System.nanoTime() - startedAt));
    }

    private boolean hasClaim(int i, boolean expected) {
        return processes.members(i).get("share") instanceof Map<?, ?> share
                && share.get("claims") instanceof Boolean b
                && b == expected;
    }

    @Test
    void fleetKeepsItsLimitsDuringPartitionsPausesAndKills() throws Exception {
        startProcesses();
        awaitConnections(MEMBERS * 11, "all started together", 2 * RELEASE_MILLIS);

        processes.relay.setLinkFilter((from, to) -> from < 3 == to < 3);
        processes.await(
                HOLD_MILLIS + ROUND_MILLIS,
                "the minority falls back to its minimum",
                () -> hasClaim(3, false) && hasClaim(4, false));
        awaitConnections(57, "partitioned, the majority", RELEASE_MILLIS);
        processes.relay.setLinkFilter((from, to) -> true);
        awaitConnections(MEMBERS * 11, "partition healed", RELEASE_MILLIS);

        // Two processes, one of them a voter, are paused with all their connections open.
        activeProcesses.removeAll(Set.of(2, 4));
        processes.signal(2, "STOP");
        processes.signal(4, "STOP");
        awaitConnections(57, "two processes paused", RELEASE_MILLIS + HOLD_MILLIS);
        processes.signal(2, "CONT");
        processes.signal(4, "CONT");
        activeProcesses.addAll(Set.of(2, 4));
        sendRounds(ROUND_MILLIS);
        awaitConnections(MEMBERS * 11, "paused processes resumed", RELEASE_MILLIS);

        activeProcesses.removeAll(Set.of(3, 4));
        processes.kill(3);
        processes.kill(4);
        awaitConnections(57, "two processes killed", RELEASE_MILLIS);
        long perSecond = listCallsPerSecond(3_000);
        assertTrue(perSecond >= 0.8 * LIST_CALLS_PER_SECOND, () -> perSecond + " calls a second");
        start(3);
        start(4);
        sendRounds(HOLD_MILLIS);
        activeProcesses.addAll(Set.of(3, 4));
        processes.await(
                15_000,
                "ready",
                () -> processes.ask(3, "READY").equals("YES\n")
                        && processes.ask(4, "READY").equals("YES\n"));
        awaitConnections(MEMBERS * 11, "killed processes restarted", RELEASE_MILLIS);

        // With two of three voters killed, no process is counted by a majority of them.
        activeProcesses.removeAll(Set.of(0, 1));
        processes.kill(0);
        processes.kill(1);
        processes.await(
                HOLD_MILLIS + ROUND_MILLIS,
                "all fall back to the minimum",
                () -> hasClaim(2, false) && hasClaim(3, false) && hasClaim(4, false));
        sendRounds(ROUND_MILLIS);
        assertListRate();
        System.out.println("at most " + maxOpenConnections + " of " + MAX_CONNECTIONS + " were open, "
                + listCalls.size() + " calls");
    }
}
