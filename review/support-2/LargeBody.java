import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** One client uploads bodies inside the limits of the configuration, while others send small requests. */
final class LargeBody {

    private static final int LARGE_BYTES = 12 << 20;
    private static final int SMALL_BYTES = 1 << 20;
    private static final int UPLOADS = 10;

    private static final Set<String> ran = ConcurrentHashMap.newKeySet();
    private static final AtomicInteger started = new AtomicInteger();
    private static final AtomicInteger served = new AtomicInteger();
    private static final AtomicInteger lost = new AtomicInteger();
    private static volatile boolean ends;

    public static void main(String[] args) throws Exception {
        Kit.main(args[0], LargeBody::run);
    }

    private static boolean run(Kit.Mesh mesh) throws Exception {
        mesh.start("front", "billing", "billing");
        mesh.server(1, "front", "front-1", 12, request -> new byte[2]);
        for (int i = 2; i <= 3; i++) {
            mesh.server(i, "billing", "billing-" + i, 12, request -> {
                ran.add(request.id());
                Kit.sleep(request.path.equals("/start") ? 400 : 50);
                return ("took " + request.body.length + " bytes").getBytes();
            });
        }
        mesh.modify("{\"upsert\":{\"serviceTable\":{" + service("front") + "," + service("billing")
                + "},\"routeTable\":{" + route("upload", "10s") + "," + route("start", "2500ms")
                + "},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\","
                + "\"idleTimeout\":\"15000ms\",\"configVersion\":\"r1\"}}}");
        mesh.awaitReady(1, 2, 3);
        Kit.sleep(5_000);
        Thread starts = Kit.thread(() -> starts(mesh));
        Kit.sleep(3_000);
        int uploaded = 0;
        for (int n = 1; n <= UPLOADS; n++) {
            String id = "upload-" + n;
            String result;
            try {
                byte[] body = new byte[Kit.TROUBLE ? LARGE_BYTES : SMALL_BYTES];
                int status = mesh.request(1, id, "upload.example", "POST", "/upload", 9_000, List.of(), body, 12_000)
                        .status;
                uploaded += status == 200 ? 1 : 0;
                result = "answered " + status;
            } catch (IOException e) {
                result = "failed " + e;
            }
            Kit.log(id + " " + result + (ran.contains(id) ? ", a server ran it" : ", no server ran it"));
            Kit.sleep(2_000);
        }
        ends = true;
        starts.join();
        for (String proxy : List.of("proxy-1", "proxy-2", "proxy-3")) {
            mesh.logMatching(proxy, "OutOfMemoryError", 3);
        }
        double upload = uploaded / (double) UPLOADS;
        double all = (uploaded + served.get()) / (double) (UPLOADS + started.get());
        Kit.log(String.format("kind upload: %.2f served; kind start: %d of %d served, %d ran at a server and got another"
                + " answer; all: %.2f", upload, served.get(), started.get(), lost.get(), all));
        return upload < all / 4;
    }

    private static String service(String name) {
        return "\"" + name + "\":{\"healthPath\":\"/health\",\"maxConnections\":110,\"configVersion\":\"r1\"}";
    }

    private static String route(String kind, String timeout) {
        return "\"r-" + kind + "\":{\"hostname\":\"" + kind + ".example\",\"pathPrefix\":\"/\",\"service\":\"billing\","
                + "\"routeType\":\"non_idempotent\",\"timeout\":\"" + timeout + "\",\"targetLatency\":\"1s\","
                + "\"priority\":1,\"maxAttempts\":2,\"configVersion\":\"r1\"}";
    }

    /** Eight small requests a second, each on a connection of its own. */
    private static void starts(Kit.Mesh mesh) {
        try {
            List<Thread> threads = new ArrayList<>();
            while (!ends) {
                String id = "start-" + started.incrementAndGet();
                threads.add(Kit.thread(() -> {
                    String result;
                    try {
                        int status = mesh.request(1, id, "start.example", "POST", "/start", 2_500, List.of(),
                                        new byte[100], 4_000)
                                .status;
                        if (status == 200) {
                            served.incrementAndGet();
                            Kit.log(id + " answered 200");
                            return;
                        }
                        result = "answered " + status;
                    } catch (IOException e) {
                        result = "failed " + e;
                    }
                    if (ran.contains(id)) {
                        lost.incrementAndGet();
                        result += ", but a server ran it";
                    }
                    Kit.log(id + " " + result);
                }));
                Kit.sleep(125);
            }
            for (Thread each : threads) {
                each.join();
            }
        } catch (InterruptedException e) {
            Kit.log("starts interrupted");
        }
    }
}
