package org.cypressweir.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cypressweir.common.util.Ids;
import org.cypressweir.loadbalancing.LoadBalancer.Actions;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.Server;
import org.cypressweir.testkit.PeerStub;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests lists of thousands of servers: parsed off the event loop and applied in slices, in the order of their arrival.
 */
@Timeout(60)
class LargeEndpointListTest {

    private static final int SERVER_COUNT = 3_000;

    @TempDir
    Path folder;

    private record Update(ListKind kind, List<Server> list) {}

    /** Records the server updates it receives, and subscribes to discovery. */
    private static final class RecordingLoadBalancer extends NoOpLoadBalancer {
        private final BlockingQueue<Update> updates = new LinkedBlockingQueue<>();
        private Actions actions;

        @Override
        public void servers(long nowMicros, ListKind kind, List<Server> list) {
            updates.add(new Update(kind, list));
            if (kind == ListKind.CACHED) {
                actions.subscribe();
            }
        }

        Update take() throws InterruptedException {
            Update next = updates.poll(20, TimeUnit.SECONDS);
            assertTrue(next != null, "no update arrived");
            return next;
        }
    }

    private static String entry(int number, String state) {
        return "{'uid':'u" + number
                + "','endpoint':'127.0.0.1:9','az':'a','model':'m','pod_group':0,'state':'"
                + state + "','boot_ms':0}";
    }

    private static String list(int revision, boolean all, int from, int to, String... more) {
        List<String> targets = new ArrayList<>(List.of(more));
        for (int i = from; i < to; i++) {
            targets.add(entry(i, "in_service"));
        }
        return Harness.json("{'rev':" + revision + ",'all':" + all + ",'targets':[" + String.join(",", targets) + "]}");
    }

    private static RecordingLoadBalancer start(Harness harness) throws Exception {
        RecordingLoadBalancer module = new RecordingLoadBalancer();
        harness.start((settings, actions) -> {
            module.actions = actions;
            return module;
        });
        assertEquals(ListKind.CACHED, module.take().kind());
        return module;
    }

    @Test
    void completeListArrivesInSlicesWithRemovalsFirst() throws Exception {
        try (PeerStub known = new PeerStub(PeerStub.SILENT);
                Harness harness = new Harness(folder, known)) {
            RecordingLoadBalancer module = start(harness);
            // This server drains, though it is the last on the list.
            harness.discovery
                    .take()
                    .reply(
                            "200 OK",
                            "",
                            list(7, true, 0, SERVER_COUNT)
                                    .replace("]}", "," + Harness.json(entry(SERVER_COUNT, "terminating")) + "]}"));
            harness.discovery.take().reply("200 OK", "", Harness.json(list(8, false, 0, 0, entry(5, "terminating"))));
            Set<Long> seen = new HashSet<>();
            int slices = 0;
            while (seen.size() < SERVER_COUNT + 2) {
                Update update = module.take();
                assertEquals(ListKind.CHANGES, update.kind());
                assertTrue(
                        update.list().size() <= EndpointListFeed.MAX_SLICE_ENTRIES,
                        "a slice of " + update.list().size());
                if (slices++ == 0) {
                    assertEquals(
                            Ids.of("s-" + known.port()), update.list().get(0).id());
                    assertEquals(Phase.REMOVED, update.list().get(0).phase());
                    assertEquals(Phase.DRAINING, update.list().get(1).phase());
                }
                update.list().forEach(s -> seen.add(s.id()));
            }
            assertEquals(1 + (SERVER_COUNT + 1) / EndpointListFeed.MAX_SLICE_ENTRIES, slices);
            // The later list is applied later, however long the slices of the first took.
            Update last = module.take();
            assertEquals(
                    List.of(Ids.of("u5")), last.list().stream().map(Server::id).toList());
        }
    }

    @Test
    void oversizedListIsLoggedAndOldListKept() throws Exception {
        try (PeerStub known = new PeerStub(PeerStub.serves("ok"));
                Harness harness = new Harness(folder, known).start()) {
            PeerStub.ReceivedRequest asked = harness.discovery.take();
            asked.raw("HTTP/1.1 200 OK\r\nContent-Length: " + (Discovery.MAX_LIST_BYTES + 1) + "\r\n\r\n{");
            harness.discovery.awaitEnd();
            assertEquals(200, harness.client().search(2_000).answer().status());
            assertTrue(harness.log.toString().contains("discovery: response too large"), harness.log.toString());
            // It polls again after the failure.
            harness.discovery.take();
        }
    }

    @Test
    void malformedLargeListIsIgnored() throws Exception {
        try (PeerStub known = new PeerStub(PeerStub.serves("ok"));
                Harness harness = new Harness(folder, known).start()) {
            String broken = list(7, true, 0, SERVER_COUNT).replace("'u2999'".replace('\'', '"'), "7");
            harness.discovery.take().reply("200 OK", "Connection: close\r\n", broken);
            harness.discovery.take();
            assertTrue(
                    harness.log.toString().contains("discovery: malformed list: a target without"),
                    harness.log.toString());
            assertEquals(200, harness.client().search(2_000).answer().status());
        }
    }

    /** The response's connection closes while the list is still being parsed. */
    @Test
    void largeListIsAppliedAlthoughConnectionCloses() throws Exception {
        try (Harness harness = new Harness(folder)) {
            RecordingLoadBalancer module = start(harness);
            PeerStub.ReceivedRequest asked = harness.discovery.take();
            asked.reply("200 OK", "Connection: close\r\n", list(7, true, 0, SERVER_COUNT));
            asked.socket().close();
            int received = 0;
            while (received < SERVER_COUNT) {
                Update next = module.take();
                assertEquals(ListKind.CHANGES, next.kind());
                received += next.list().size();
            }
            assertEquals(SERVER_COUNT, received);
        }
    }
}
