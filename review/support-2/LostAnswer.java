import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Each of two servers runs one request whose answer is lost, on a connection that stays open. Other requests for the
 * same service come before and after, five a second.
 */
final class LostAnswer {

    private static final int PER_SECOND = 5;
    private static final int TROUBLE_MILLIS = 5_500;
    /** An answer is lost only after the server has answered so many: one in twenty. */
    private static final int ANSWERED_BEFORE = 19;
    private static final int RECOVERY_MILLIS = 15_000;
    private static final AtomicInteger ran = new AtomicInteger();
    /** The server that loses the answer of the next request that may not be repeated; 0 for none. */
    private static final AtomicInteger losing = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        Kit.main(args[0], LostAnswer::run);
    }

    private static boolean run(Kit.Mesh mesh) throws Exception {
        mesh.start("front", "billing", "billing");
        mesh.server(1, "front", "front-1", 12, request -> answer());
        for (int i = 2; i <= 3; i++) {
            int number = i;
            AtomicInteger answered = new AtomicInteger();
            mesh.server(i, "billing", "billing-" + i, 12, request -> {
                ran.incrementAndGet();
                byte[] answer = answer();
                if (losing.get() == number
                        && answered.incrementAndGet() > ANSWERED_BEFORE
                        && request.method.equals("POST")
                        && losing.compareAndSet(number, 0)) {
                    Kit.log("billing-" + number + " has run " + request.id() + ", its answer is lost after "
                            + (answered.get() - 1) + " others");
                    Kit.sleep(200_000);
                }
                return answer;
            });
        }
        mesh.modify("{\"upsert\":{\"serviceTable\":{" + service("front") + "," + service("billing")
                + "},\"routeTable\":{" + route("start", "billing", "non_idempotent", "90s") + ","
                + route("status", "billing", "idempotent", "2s") + "," + route("info", "front", "idempotent", "2s")
                + "}}}");
        mesh.awaitReady(1, 2, 3);
        Kit.sleep(5_000);
        Kit.thread(() -> info(mesh));
        double before = Math.min(send(mesh, "before", "start", 4_000), send(mesh, "before", "status", 4_000));
        for (int server = 2; server <= 3; server++) {
            losing.set(Kit.TROUBLE ? server : 0);
            Thread starts = Kit.thread(() -> starts(mesh));
            int ranBefore = ran.get();
            send(mesh, "trouble-" + server, "status", TROUBLE_MILLIS);
            starts.join();
            losing.set(0);
            Kit.log("both servers ran " + (ran.get() - ranBefore) + " requests meanwhile");
        }
        mesh.closingFault("{\"upsert\":{\"routeTable\":{" + route("info", "front", "idempotent", "3s", 2) + "}}}");
        send(mesh, "closing", "status", RECOVERY_MILLIS + 1_000);
        int ranBefore = ran.get();
        double status = send(mesh, "after", "status", 25_000);
        Kit.log("kind status: " + status + " served at the end; billing ran " + (ran.get() - ranBefore));
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

    /** Requests that may not be repeated, four a second, whose clients wait up to 80 s. */
    private static void starts(Kit.Mesh mesh) {
        try {
            long end = Kit.nowMillis() + TROUBLE_MILLIS;
            for (int n = 1; Kit.nowMillis() < end; n++) {
                String id = "start-" + Kit.nowMillis();
                Kit.thread(() -> {
                    try {
                        Kit.log(id + " answered "
                                + mesh.request(1, id, "start.example", "POST", "/x", 80_000, List.of(), new byte[0],
                                                85_000)
                                        .status);
                    } catch (IOException e) {
                        Kit.log(id + " failed " + e);
                    }
                });
                Kit.sleep(250);
            }
        } catch (InterruptedException e) {
            Kit.log("starts interrupted");
        }
    }

    private static byte[] answer() throws InterruptedException {
        Kit.sleep(30);
        return "ran".getBytes();
    }

    private static String service(String name) {
        return "\"" + name + "\":{\"healthPath\":\"/health\",\"maxConnections\":110,\"configVersion\":\"r1\"}";
    }

    private static String route(String kind, String service, String type, String timeout) {
        return route(kind, service, type, timeout, 1);
    }

    private static String route(String kind, String service, String type, String timeout, int version) {
        return "\"r-" + kind + "\":{\"hostname\":\"" + kind + ".example\",\"pathPrefix\":\"/\",\"service\":\"" + service
                + "\",\"routeType\":\"" + type + "\",\"timeout\":\"" + timeout + "\",\"targetLatency\":\"400ms\","
                + "\"priority\":1,\"maxAttempts\":2,\"configVersion\":\"r" + version + "\"}";
    }

    private static double send(Kit.Mesh mesh, String phase, String kind, long millis) throws InterruptedException {
        return send(mesh, phase, kind, millis, PER_SECOND);
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
                    String method = kind.equals("start") ? "POST" : "GET";
                    int status = mesh.request(1, id, kind + ".example", method, "/x", 2_000, List.of(), new byte[0],
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
