package org.cypressweir.fleet.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import org.cypressweir.testkit.PeerStub;
import org.cypressweir.testkit.SidecarConfigurations;
import org.cypressweir.testkit.SidecarProcesses;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A process that starts while discovery is down borrows an endpoint list from another member. */
@Timeout(120)
class BorrowedEndpointListTest {

    @TempDir
    Path folder;

    private final HttpClient client = HttpClient.newHttpClient();
    private int lastRequestId;

    private int sendRequest(SidecarProcesses processes, int i) throws Exception {
        return client.send(
                        HttpRequest.newBuilder(URI.create("http://127.0.0.1:"
                                        + processes.clientAddress(i).getPort() + "/search/k"))
                                .header("Tenant", "acme")
                                .header("Request-Id", String.format("%016x", ++lastRequestId))
                                .header("Request-Timeout-Ms", "3000")
                                .build(),
                        HttpResponse.BodyHandlers.ofString())
                .statusCode();
    }

    private static void awaitReady(SidecarProcesses processes, int i) throws Exception {
        processes.await(15_000, "ready", () -> processes.ask(i, "READY").equals("YES\n"));
    }

    /** Its own configuration names only removed or draining servers; other members know the one that serves. */
    @Test
    void startWithoutDiscoveryBorrowsNewestList() throws Exception {
        try (PeerStub removed = new PeerStub(PeerStub.serves("gone"));
                PeerStub draining = new PeerStub(PeerStub.serves("drains"));
                PeerStub serving = new PeerStub(PeerStub.serves("serves"));
                SidecarProcesses processes = new SidecarProcesses(folder, 1, 3, 1_000, removed, draining)) {
            String olderList =
                    SidecarConfigurations.json(SidecarConfigurations.list(4, true, "in_service", removed, draining));
            String newerList = SidecarConfigurations.json(SidecarConfigurations.list(7, true, "in_service", serving)
                    .replace(
                            "'targets':[",
                            "'targets':[{'uid':'s-" + draining.port() + "','endpoint':'127.0.0.1:" + draining.port()
                                    + "','az':'a','model':'m','pod_group':0,'state':'terminating','boot_ms':0},"));
            String[] discoveryList = {olderList};
            processes.discovery.script(seen -> {
                String current = discoveryList[0];
                if (!current.equals(olderList) && seen.request().firstLine().contains("from=7")) {
                    return;
                }
                seen.reply("200 OK", "", current);
            });
            // The first process receives only the older list, the second also the newer one.
            processes.start(0);
            awaitReady(processes, 0);
            processes.await(5_000, "the older list", () -> processes.discovery.received.size() >= 2);
            processes.signal(0, "STOP");
            for (PeerStub.ReceivedRequest seen : processes.discovery.received) {
                seen.socket().close();
            }
            discoveryList[0] = newerList;
            processes.start(1);
            awaitReady(processes, 1);
            processes.await(
                    5_000, "the newer list", () -> sendRequest(processes, 1) == 200 && !serving.received.isEmpty());
            processes.discovery.close();
            processes.signal(0, "CONT");
            processes.await(5_000, "both see each other", () -> processes.see(2, 0, 1));
            int requestsBefore = removed.received.size() + draining.received.size();
            int servedBefore = serving.received.size();

            processes.start(2);
            awaitReady(processes, 2);
            for (int i = 0; i < 50; i++) {
                assertEquals(200, sendRequest(processes, 2));
            }
            assertEquals(
                    requestsBefore,
                    removed.received.size() + draining.received.size(),
                    "requests to servers that must not be used");
            assertEquals(servedBefore + 50, serving.received.size());
            SidecarProcesses.Event loan = processes.history().stream()
                    .filter(e -> e.process().equals("n2") && e.event().equals("borrowed"))
                    .findFirst()
                    .orElseThrow();
            assertEquals("n1", loan.about());
            assertTrue(loan.text().startsWith("7 "), loan.text());
            assertTrue(processes.logs().contains("discovery is silent: list of revision 7 from n1"), processes.logs());
        }
    }
}
