import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The operator adds a route with a long aim to a service, one request is sent on it, and the route is withdrawn. Then it
 * is counted how often the other requests for the service are served.
 */
final class LongAim {

    private static final int PER_SECOND = 10;
    private static final String LONG_AIM = "300s";
    private static final String SHORT_AIM = "2s";
    private static final int RECOVERY_MILLIS = 15_000;
    private static final AtomicInteger ran = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        Kit.main(args[0], LongAim::run);
    }

    private static boolean run(Kit.Mesh mesh) throws Exception {
        mesh.start("front", "billing", "billing");
        mesh.server(1, "front", "front-1", 12, request -> answer());
        for (int i = 2; i <= 3; i++) {
            mesh.server(i, "billing", "billing-" + i, 12, request -> {
                ran.incrementAndGet();
                return answer();
            });
        }
        mesh.modify("{\"upsert\":{\"serviceTable\":{" + service("front") + "," + service("billing")
                + "},\"routeTable\":{" + route("status", "billing", "2s", "400ms", 1) + ","
                + route("info", "front", "2s", "400ms", 1) + "}}}");
        mesh.awaitReady(1, 2, 3);
        Kit.sleep(5_000);
        Kit.thread(() -> info(mesh));
        double before = send(mesh, "before", "status", 5_000, PER_SECOND);
        String aim = Kit.TROUBLE ? LONG_AIM : SHORT_AIM;
        mesh.modify("{\"upsert\":{\"routeTable\":{" + route("export", "billing", "600s", aim, 1) + "}}}");
        Kit.sleep(3_000);
        before = Math.min(before, send(mesh, "added", "status", 5_000, PER_SECOND));
        Kit.Answer export = mesh.request(1, "export", "export.example", "GET", "/x", 500_000, List.of(), new byte[0],
                20_000);
        Kit.log("export answered " + export.status);
        send(mesh, "exported", "status", 5_000, PER_SECOND);
        mesh.modify("{\"withdraw\":{\"routeTable\":[{\"name\":\"r-export\",\"configVersion\":\"r2\"}]}}");
        Kit.sleep(3_000);
        send(mesh, "withdrawn", "status", 5_000, PER_SECOND);
        mesh.closingFault("{\"upsert\":{\"routeTable\":{" + route("info", "front", "3s", "400ms", 2) + "}}}");
        send(mesh, "closing", "status", RECOVERY_MILLIS + 1_000, PER_SECOND);
        int ranBefore = ran.get();
        double status = send(mesh, "after", "status", 25_000, PER_SECOND);
        Kit.log("kind status: " + status + " served at the end; billing ran " + (ran.get() - ranBefore));
        requireServed(before);
        return Kit.recoverBroken(mesh);
    }

    private static void requireServed(double before) {
        if (before < 0.9) {
            throw new IllegalStateException("too little is served before the trouble");
        }
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

    private static byte[] answer() throws InterruptedException {
        Kit.sleep(60);
        return "ran".getBytes();
    }

    private static String service(String name) {
        return "\"" + name + "\":{\"healthPath\":\"/health\",\"maxConnections\":110,\"configVersion\":\"r1\"}";
    }

    private static String route(String kind, String service, String timeout, String aim, int version) {
        return "\"r-" + kind + "\":{\"hostname\":\"" + kind + ".example\",\"pathPrefix\":\"/\",\"service\":\"" + service
                + "\",\"routeType\":\"idempotent\",\"timeout\":\"" + timeout + "\",\"targetLatency\":\"" + aim
                + "\",\"priority\":1,\"maxAttempts\":2,\"configVersion\":\"r" + version + "\"}";
    }

    /** So many requests a second, each on a connection of its own; returns the share that is served. */
    private static double send(Kit.Mesh mesh, String phase, String kind, long millis, int perSecond)
            throws InterruptedException {
        AtomicInteger served = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (long end = Kit.nowMillis() + millis; Kit.nowMillis() < end; Kit.sleep(1_000 / perSecond)) {
            String id = phase + "-" + kind + "-" + (threads.size() + 1);
            threads.add(Kit.thread(() -> {
                String result;
                try {
                    int status = mesh.request(1, id, kind + ".example", "GET", "/x", 2_000, List.of(), new byte[0], 4_000)
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
