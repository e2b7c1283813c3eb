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

/** Lists of thousands: read beside the loop, taken over in slices, in the order in which they were told. */
@Timeout(60)
class LargeEndpointListTest {

    private static final int MANY = 3_000;

    @TempDir
    Path folder;

    private record Reading(ListKind kind, List<Server> list) {}

    /** Records what it is told of servers, and watches. */
    private static final class Listening extends QuietModule {
        private final BlockingQueue<Reading> told = new LinkedBlockingQueue<>();
        private Actions actions;

        @Override
        public void servers(long nowMicros, ListKind kind, List<Server> list) {
            told.add(new Reading(kind, list));
            if (kind == ListKind.CACHED) {
                actions.subscribe();
            }
        }

        Reading take() throws InterruptedException {
            Reading next = told.poll(20, TimeUnit.SECONDS);
            assertTrue(next != null, "nothing was told");
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

    private static Listening start(Harness harness) throws Exception {
        Listening module = new Listening();
        harness.start((settings, actions) -> {
            module.actions = actions;
            return module;
        });
        assertEquals(ListKind.CACHED, module.take().kind());
        return module;
    }

    @Test
    void aWholeListComesInSlicesWithWhatLeavesFirst() throws Exception {
        try (PeerStub known = new PeerStub(PeerStub.SILENT);
                Harness harness = new Harness(folder, known)) {
            Listening module = start(harness);
            // Drains, though it stands last on the list.
            harness.discovery
                    .take()
                    .reply(
                            "200 OK",
                            "",
                            list(7, true, 0, MANY)
                                    .replace("]}", "," + Harness.json(entry(MANY, "terminating")) + "]}"));
            harness.discovery.take().reply("200 OK", "", Harness.json(list(8, false, 0, 0, entry(5, "terminating"))));
            Set<Long> seen = new HashSet<>();
            int slices = 0;
            while (seen.size() < MANY + 2) {
                Reading told = module.take();
                assertEquals(ListKind.CHANGES, told.kind());
                assertTrue(
                        told.list().size() <= EndpointListFeed.SLICE,
                        "a slice of " + told.list().size());
                if (slices++ == 0) {
                    assertEquals(Ids.of("s-" + known.port()), told.list().get(0).id());
                    assertEquals(Phase.REMOVED, told.list().get(0).phase());
                    assertEquals(Phase.DRAINING, told.list().get(1).phase());
                }
                told.list().forEach(s -> seen.add(s.id()));
            }
            assertEquals(1 + (MANY + 1) / EndpointListFeed.SLICE, slices);
            // What was told later comes later, however long the slices took.
            Reading last = module.take();
            assertEquals(
                    List.of(Ids.of("u5")), last.list().stream().map(Server::id).toList());
        }
    }

    @Test
    void aListThatIsTooLargeIsSaidSoAndTheOldOneStays() throws Exception {
        try (PeerStub known = new PeerStub(PeerStub.serves("ok"));
                Harness harness = new Harness(folder, known).start()) {
            PeerStub.Seen asked = harness.discovery.take();
            asked.raw("HTTP/1.1 200 OK\r\nContent-Length: " + (Discovery.MAX_LIST + 1) + "\r\n\r\n{");
            harness.discovery.awaitEnd();
            assertEquals(200, harness.client().search(2_000).answer().status());
            assertTrue(
                    harness.log.toString().contains("discovery: an answer that is too large"), harness.log.toString());
            // It asks again, and a list that fits is taken.
            harness.discovery.take();
        }
    }

    @Test
    void aMalformedLargeListChangesNothing() throws Exception {
        try (PeerStub known = new PeerStub(PeerStub.serves("ok"));
                Harness harness = new Harness(folder, known).start()) {
            String broken = list(7, true, 0, MANY).replace("'u2999'".replace('\'', '"'), "7");
            harness.discovery.take().reply("200 OK", "Connection: close\r\n", broken);
            harness.discovery.take();
            assertTrue(harness.log.toString().contains("a malformed list: a target without"), harness.log.toString());
            assertEquals(200, harness.client().search(2_000).answer().status());
        }
    }

    /** The answer's own connection ends with it, while the list is still being read. */
    @Test
    void aLargeListBeforeAClosedConnectionCounts() throws Exception {
        try (Harness harness = new Harness(folder)) {
            Listening module = start(harness);
            PeerStub.Seen asked = harness.discovery.take();
            asked.reply("200 OK", "Connection: close\r\n", list(7, true, 0, MANY));
            asked.socket().close();
            int told = 0;
            while (told < MANY) {
                Reading next = module.take();
                assertEquals(ListKind.CHANGES, next.kind());
                told += next.list().size();
            }
            assertEquals(MANY, told);
        }
    }
}
