import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A burst of requests on a public route of low priority, while a tenant of the highest priority sends a few requests to
 * the same service. It is compared how often the two kinds are served.
 */
final class PublicBurst {

    private static final String KEY = "key-of-urgent";
    private static final int USUAL_PER_SECOND = Integer.getInteger("usual", 30);
    private static final double BURST = Double.parseDouble(System.getProperty("burst", "3"));

    private static final AtomicInteger[] sent = {new AtomicInteger(), new AtomicInteger()};
    private static final AtomicInteger[] served = {new AtomicInteger(), new AtomicInteger()};
    private static volatile boolean ends;
    private static volatile boolean counting;

    public static void main(String[] args) throws Exception {
        Kit.main(args[0], PublicBurst::run);
    }

    private static boolean run(Kit.Mesh mesh) throws Exception {
        mesh.start("front", "billing", "billing");
        mesh.server(1, "front", "front-1", 12, request -> new byte[2]);
        for (int i = 2; i <= 3; i++) {
            java.util.concurrent.Semaphore slots = new java.util.concurrent.Semaphore(3);
            mesh.server(i, "billing", "billing-" + i, 3, request -> {
                slots.acquire();
                try { Kit.sleep(120); } finally { slots.release(); }
                return "ran".getBytes();
            });
        }
        mesh.modify("{\"upsert\":{\"serviceTable\":{" + service("front") + "," + service("billing")
                + "},\"routeTable\":{" + route("map", 5, true) + "," + route("stop", 0, false)
                + "},\"tenantTable\":{\"urgent\":{\"apiKeys\":[\"" + KEY + "\"],\"priority\":0,\"ratePerS\":200,"
                + "\"burstSize\":200,\"configVersion\":\"r1\"}}}}");
        mesh.awaitReady(1, 2, 3);
        Kit.sleep(5_000);
        Thread map = Kit.thread(() -> client(mesh, 0, "map", Kit.TROUBLE ? (int) (USUAL_PER_SECOND * BURST) : USUAL_PER_SECOND));
        Thread stop = Kit.thread(() -> client(mesh, 1, "stop", 8));
        Kit.sleep(5_000);
        counting = true;
        Kit.sleep(30_000);
        ends = true;
        map.join();
        stop.join();
        double mapShare = served[0].get() / (double) sent[0].get();
        double stopShare = served[1].get() / (double) sent[1].get();
        double all = (served[0].get() + served[1].get()) / (double) (sent[0].get() + sent[1].get());
        Kit.log(String.format("kind map (public, priority 5): %d of %d served, %.2f; kind stop (tenant, priority 0): %d of %d"
                + " served, %.2f; all: %.2f", served[0].get(), sent[0].get(), mapShare, served[1].get(), sent[1].get(), stopShare, all));
        return stopShare < all / 4;
    }

    private static String service(String name) {
        return "\"" + name + "\":{\"healthPath\":\"/health\",\"maxConnections\":110,\"configVersion\":\"r1\"}";
    }

    private static String route(String kind, int priority, boolean open) {
        return "\"r-" + kind + "\":{\"hostname\":\"" + kind + ".example\",\"pathPrefix\":\"/\",\"service\":\"billing\","
                + "\"routeType\":\"idempotent\",\"timeout\":\"2500ms\",\"targetLatency\":\"400ms\","
                + "\"priority\":" + priority + ",\"maxAttempts\":2,\"publicAccess\":" + open + ",\"configVersion\":\"r1\"}";
    }

    private static void client(Kit.Mesh mesh, int kind, String name, int perSecond) {
        List<Thread> threads = new ArrayList<>();
        try {
            for (int n = 1; !ends; n++) {
                String id = name + "-" + n;
                threads.add(Kit.thread(() -> send(mesh, kind, name, id)));
                Kit.sleep(1_000 / perSecond);
            }
            for (Thread each : threads) {
                each.join();
            }
        } catch (InterruptedException e) {
            Kit.log("client interrupted");
        }
    }

    private static void send(Kit.Mesh mesh, int kind, String name, String id) {
        boolean counted = counting;
        int status = 0;
        try {
            List<String> headers = kind == 0 ? List.of() : List.of("Cypressweir-Key: " + KEY);
            status = mesh.request(1, id, name + ".example", "GET", "/x", 2_500, headers, new byte[0], 4_000).status;
        } catch (IOException e) {
            Kit.log(id + " failed " + e);
        }
        if (counted) {
            sent[kind].incrementAndGet();
            served[kind].addAndGet(status == 200 ? 1 : 0);
        }
    }
}
