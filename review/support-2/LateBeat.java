import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server takes itself off the list, the proxy beside it is killed and starts again, and a heartbeat that the server
 * sent before arrives late. Then it is counted which requests still reach the server, and what becomes of them.
 */
final class LateBeat {

    private static final int DRAIN_MILLIS = 2_500;
    private static final int CONTACT_MILLIS = 3_000;
    private static final int DOWN_MILLIS = 500;
    private static final int LATE_MILLIS = 2_500;
    private static final int WORK_MILLIS = 400;
    private static final int SERVES_ON_MILLIS = 7_500;

    private static volatile long acknowledgedAt = Long.MAX_VALUE;
    private static volatile long calmAt = Long.MAX_VALUE;
    private static final AtomicInteger late = new AtomicInteger();
    private static final Set<String> lateIds = ConcurrentHashMap.newKeySet();
    private static final AtomicInteger lost = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        Kit.main(args[0], LateBeat::run);
    }

    private static boolean run(Kit.Mesh mesh) throws Exception {
        mesh.start("front", "billing", "billing");
        mesh.server(1, "front", "front-1", 12, request -> new byte[2]);
        Kit.Server leaving = mesh.server(2, "billing", "billing-2", 12, LateBeat::runAtLeaving);
        mesh.server(3, "billing", "billing-3", 12, request -> {
            Kit.sleep(WORK_MILLIS);
            return "ran".getBytes();
        });
        mesh.modify("{\"upsert\":{\"serviceTable\":{" + service("front") + "," + service("billing")
                + "},\"routeTable\":{\"r-session\":{\"hostname\":\"session.example\",\"pathPrefix\":\"/\",\"service\":"
                + "\"billing\",\"routeType\":\"non_idempotent\",\"timeout\":\"2500ms\",\"targetLatency\":\"1s\","
                + "\"priority\":1,\"maxAttempts\":2,\"configVersion\":\"r1\"}}}}");
        mesh.awaitReady(1, 2, 3);
        Kit.sleep(5_000);
        Thread client = Kit.thread(() -> client(mesh));
        Kit.sleep(2_000);

        // This heartbeat is sent now, and is on its way for some seconds.
        leaving.beating = false;
        Kit.sleep(1_600);
        long callSequence = leaving.sequence.incrementAndGet();
        Kit.sleep(100);
        if (!leaving.deregister()) {
            throw new IllegalStateException("the deregister call was not acknowledged");
        }
        acknowledgedAt = Kit.nowMillis();
        calmAt = acknowledgedAt;
        Kit.sleep(500);
        if (Kit.TROUBLE) {
            mesh.signal("proxy-2", "KILL");
            mesh.processes.get("proxy-2").waitFor();
            Kit.sleep(DOWN_MILLIS);
            mesh.launch("proxy-2", "proxy");
            mesh.awaitReady(2);
            calmAt = Kit.nowMillis() + CONTACT_MILLIS;
        }
        Kit.sleep(Math.max(1_000, acknowledgedAt + LATE_MILLIS - Kit.nowMillis()));
        boolean taken = leaving.sendBeat(callSequence, "in_service");
        Kit.log("heartbeat " + callSequence + " arrives " + (Kit.nowMillis() - acknowledgedAt)
                + " ms after the acknowledgement, acknowledged=" + taken);
        Kit.sleep(SERVES_ON_MILLIS - (Kit.nowMillis() - acknowledgedAt));
        Kit.log("server billing-2 ends");
        leaving.end();
        Kit.sleep(4_000);
        client.interrupt();
        client.join();
        Kit.log("requests that reached billing-2 more than drain after the acknowledgement, sent on by machines in"
                + " touch: " + late + "; of these without a success: " + lost);
        return late.get() > 0;
    }

    private static byte[] runAtLeaving(Kit.ServerRequest request) throws InterruptedException {
        long now = Kit.nowMillis();
        if (now > acknowledgedAt + DRAIN_MILLIS) {
            boolean inTouch = now > calmAt;
            Kit.log(request.id() + " reaches billing-2 " + (now - acknowledgedAt) + " ms after the acknowledgement"
                    + (inTouch ? "" : " (the proxy beside it started less than contact ago)"));
            if (inTouch) {
                late.incrementAndGet();
                lateIds.add(request.id());
            }
        }
        Kit.sleep(WORK_MILLIS);
        return "ran".getBytes();
    }

    private static String service(String name) {
        return "\"" + name + "\":{\"healthPath\":\"/health\",\"maxConnections\":110,\"configVersion\":\"r1\"}";
    }

    /** Ten requests a second, each on its own thread, until it is interrupted. */
    private static void client(Kit.Mesh mesh) {
        try {
            for (int n = 1;; n++) {
                String id = "start-" + n;
                Kit.thread(() -> send(mesh, id));
                Kit.sleep(100);
            }
        } catch (InterruptedException e) {
            Kit.log("client ends");
        }
    }

    private static void send(Kit.Mesh mesh, String id) {
        String result;
        try {
            result = "answered "
                    + mesh.request(1, id, "session.example", "POST", "/start", 2_500, List.of(), new byte[10], 4_000)
                            .status;
        } catch (Exception e) {
            result = "failed " + e;
        }
        Kit.log(id + " " + result);
        if (lateIds.contains(id) && !result.equals("answered 200")) {
            lost.incrementAndGet();
        }
    }
}
