import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The proxy beside one of two servers stands still for two seconds and goes on. Later the other server leaves in order.
 * Then requests that may not be repeated have one server left, which is well and idle.
 */
final class LastServer {

    private static final int FREEZE_MILLIS = 2_000;
    private static final int PER_SECOND = 25;
    private static final int PROXIES = 10;
    private static final int RECOVERY_MILLIS = 15_000;
    private static final int DRAIN_MILLIS = 2_500;

    private static final AtomicInteger ranAtLast = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        Kit.main(args[0], LastServer::run);
    }

    private static boolean run(Kit.Mesh mesh) throws Exception {
        // Ten proxies, so that the one that stands still is a tenth of them.
        String[] services = new String[PROXIES];
        Arrays.fill(services, "front");
        services[1] = "billing";
        services[2] = "billing";
        mesh.start(services);
        for (int i = 1; i <= PROXIES; i += i == 1 ? 3 : 1) {
            mesh.server(i, "front", "front-" + i, 12, request -> answer());
        }
        mesh.server(2, "billing", "billing-2", 12, request -> {
            ranAtLast.incrementAndGet();
            return answer();
        });
        Kit.Server leaving = mesh.server(3, "billing", "billing-3", 12, request -> answer());
        mesh.modify("{\"upsert\":{\"serviceTable\":{" + service("front") + "," + service("billing")
                + "},\"routeTable\":{" + route("start", "billing", "non_idempotent", 1) + ","
                + route("status", "billing", "idempotent", 1) + "," + route("info", "front", "idempotent", 1) + "}}}");
        mesh.awaitReady(1, 2, 3);
        Kit.sleep(5_000);
        Kit.thread(() -> info(mesh));
        double before = Math.min(send(mesh, "before", "start", 2_000), send(mesh, "before", "status", 2_000));

        // The operator moves the route of the reads to another service.
        mesh.modify("{\"upsert\":{\"routeTable\":{" + route("status", "front", "idempotent", 2) + "}}}");
        Kit.sleep(5_000);
        Thread freeze = Kit.thread(() -> freeze(mesh));
        send(mesh, "freeze", "start", 5_000);
        freeze.join();
        send(mesh, "well", "start", 10_000);

        leaving.state = "draining";
        leaving.sendBeat(leaving.sequence.incrementAndGet(), "draining");
        Kit.log("billing-3 drains");
        Kit.sleep(DRAIN_MILLIS + 1_000);
        leaving.deregister();
        leaving.end();
        Kit.sleep(4_000);
        mesh.closingFault("{\"upsert\":{\"routeTable\":{" + route("info", "front", "idempotent", 2) + "}}}");
        Kit.sleep(RECOVERY_MILLIS + 1_000);
        int ranBefore = ranAtLast.get();
        double start = send(mesh, "after", "start", 12_000);
        Kit.log("kind start: " + start + " served at the end; billing-2 ran " + (ranAtLast.get() - ranBefore));
        if (before < 0.9) {
            throw new IllegalStateException("too little is served before the trouble");
        }
        return Kit.recoverBroken(mesh);
    }

    /** Clients of another service, one request a second from the beginning to the end. */
    private static void info(Kit.Mesh mesh) {
        try {
            for (int n = 1;; n++) {
                String id = "info-" + n;
                try {
                    Kit.log(id + " answered "
                            + mesh.request(1, id, "info.example", "GET", "/x", 2_000, List.of(), new byte[0], 4_000)
                                    .status);
                } catch (IOException e) {
                    Kit.log(id + " failed " + e);
                }
                Kit.sleep(1_000);
            }
        } catch (InterruptedException e) {
            Kit.log("info interrupted");
        }
    }

    private static void freeze(Kit.Mesh mesh) {
        try {
            Kit.sleep(1_000);
            if (Kit.TROUBLE) {
                mesh.signal("proxy-2", "STOP");
                Kit.sleep(FREEZE_MILLIS);
                mesh.signal("proxy-2", "CONT");
            }
        } catch (IOException | InterruptedException e) {
            Kit.log("freeze failed " + e);
        }
    }

    private static byte[] answer() throws InterruptedException {
        Kit.sleep(120);
        return "ran".getBytes();
    }

    private static String service(String name) {
        return "\"" + name + "\":{\"healthPath\":\"/health\",\"maxConnections\":110,\"configVersion\":\"r1\"}";
    }

    private static String route(String kind, String service, String type, int version) {
        return "\"r-" + kind + "\":{\"hostname\":\"" + kind + ".example\",\"pathPrefix\":\"/\",\"service\":\"" + service
                + "\",\"routeType\":\"" + type + "\",\"timeout\":\"2500ms\",\"targetLatency\":\"400ms\",\"priority\":1,"
                + "\"maxAttempts\":2,\"configVersion\":\"r" + version + "\"}";
    }

    /** So many requests a second, each on a connection of its own; returns the share that is served. */
    private static double send(Kit.Mesh mesh, String phase, String kind, long millis) throws InterruptedException {
        return send(mesh, phase, kind, millis, PER_SECOND);
    }

    private static double send(Kit.Mesh mesh, String phase, String kind, long millis, int perSecond)
            throws InterruptedException {
        AtomicInteger served = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (long end = Kit.nowMillis() + millis; Kit.nowMillis() < end; Kit.sleep(1_000 / perSecond)) {
            String id = phase + "-" + kind + "-" + (threads.size() + 1);
            threads.add(Kit.thread(() -> {
                String result;
                try {
                    String method = kind.equals("start") ? "POST" : "GET";
                    int status = mesh.request(1, id, kind + ".example", method, "/x", 1_500, List.of(), new byte[0],
                                    4_000)
                            .status;
                    if (status == 200) {
                        served.incrementAndGet();
                    }
                    result = "answered " + status;
                } catch (IOException e) {
                    result = "failed " + e;
                }
                Kit.log(id + " " + result);
            }));
        }
        for (Thread each : threads) {
            each.join();
        }
        Kit.log(phase + " " + kind + ": " + served + " of " + threads.size() + " served");
        return served.get() / (double) threads.size();
    }
}
