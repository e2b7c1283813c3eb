package org.cypressweir.fleet.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import org.cypressweir.testkit.Configs;
import org.cypressweir.testkit.PeerStub;
import org.cypressweir.testkit.SidecarProcesses;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A process that starts while discovery is dead. */
@Timeout(120)
class BorrowedEndpointListTest {

    @TempDir
    Path folder;

    private final HttpClient client = HttpClient.newHttpClient();
    private int ids;

    private int ask(SidecarProcesses processes, int i) throws Exception {
        return client.send(
                        HttpRequest.newBuilder(URI.create(
                                        "http://127.0.0.1:" + processes.front(i).getPort() + "/search/k"))
                                .header("Tenant", "acme")
                                .header("Request-Id", String.format("%016x", ++ids))
                                .header("Request-Timeout-Ms", "3000")
                                .build(),
                        HttpResponse.BodyHandlers.ofString())
                .statusCode();
    }

    private static void ready(SidecarProcesses processes, int i) throws Exception {
        processes.within(15_000, "ready", () -> processes.ask(i, "READY").equals("YES\n"));
    }

    /** Its own configuration names servers that are long gone, or drain; others know the one that serves. */
    @Test
    void whoeverStartsWhileDiscoveryIsDeadTakesTheNewestListOfTheOthers() throws Exception {
        try (PeerStub gone = new PeerStub(PeerStub.serves("gone"));
                PeerStub drains = new PeerStub(PeerStub.serves("drains"));
                PeerStub serves = new PeerStub(PeerStub.serves("serves"));
                SidecarProcesses processes = new SidecarProcesses(folder, 1, 3, 1_000, gone, drains)) {
            String old = Configs.json(Configs.list(4, true, "in_service", gone, drains));
            String list = Configs.json(Configs.list(7, true, "in_service", serves)
                    .replace(
                            "'targets':[",
                            "'targets':[{'uid':'s-" + drains.port() + "','endpoint':'127.0.0.1:" + drains.port()
                                    + "','az':'a','model':'m','pod_group':0,'state':'terminating','boot_ms':0},"));
            String[] told = {old};
            processes.discovery.script(seen -> {
                String now = told[0];
                if (!now.equals(old) && seen.request().first().contains("from=7")) {
                    return;
                }
                seen.reply("200 OK", "", now);
            });
            // The first hears of the older list only, the second of the newer one, too.
            processes.start(0);
            ready(processes, 0);
            processes.within(5_000, "the older list", () -> processes.discovery.seen.size() >= 2);
            processes.signal(0, "STOP");
            for (PeerStub.Seen seen : processes.discovery.seen) {
                seen.socket().close();
            }
            told[0] = list;
            processes.start(1);
            ready(processes, 1);
            processes.within(5_000, "the newer list", () -> ask(processes, 1) == 200 && !serves.seen.isEmpty());
            processes.discovery.close();
            processes.signal(0, "CONT");
            processes.within(5_000, "both are there", () -> processes.see(2, 0, 1));
            int before = gone.seen.size() + drains.seen.size();
            int served = serves.seen.size();

            processes.start(2);
            ready(processes, 2);
            for (int i = 0; i < 50; i++) {
                assertEquals(200, ask(processes, 2));
            }
            assertEquals(before, gone.seen.size() + drains.seen.size(), "of those that it must not use");
            assertEquals(served + 50, serves.seen.size());
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
