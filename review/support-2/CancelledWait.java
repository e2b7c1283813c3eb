import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Impatient clients of a tenant that stays within its limit, while all core machines are without power for some
 * seconds. When all is back, patient clients send requests of two kinds; the answers of one kind are compared with
 * those of all.
 */
final class CancelledWait {

    private static final String KEY = "key-of-big";
    private static final int AIM_MILLIS = 100;
    private static final int PER_SECOND = 16;
    private static final int DARK_MILLIS = 2_000;
    private static final int RECOVERY_MILLIS = 15_000;

    private static volatile boolean crowdEnds;

    public static void main(String[] args) throws Exception {
        Kit.main(args[0], CancelledWait::run);
    }

    private static boolean run(Kit.Mesh mesh) throws Exception {
        mesh.start("front", "tariff", "tariff");
        Kit.Handler handler = request -> {
            Kit.sleep(20);
            return ("ran " + request.id()).getBytes();
        };
        mesh.server(1, "front", "front-1", 12, handler);
        mesh.server(2, "tariff", "tariff-2", 12, handler);
        mesh.server(3, "tariff", "tariff-3", 12, handler);
        mesh.modify("{\"upsert\":{\"serviceTable\":{" + service("front") + "," + service("tariff")
                + "},\"routeTable\":{" + route("tariff") + "," + route("front")
                + "},\"tenantTable\":{\"big\":{\"apiKeys\":[\"" + KEY + "\"],\"priority\":1,\"ratePerS\":24,"
                + "\"burstSize\":24,\"configVersion\":\"r1\"}}}}");
        mesh.awaitReady(1, 2, 3);
        Kit.sleep(5_000);
        double before = patient(mesh, "before", "tariff", 4_000);
        Thread crowd = Kit.thread(() -> crowd(mesh));
        Kit.sleep(5_000);
        if (Kit.TROUBLE) {
            loseCore(mesh);
        }
        Kit.sleep(6_000);
        crowdEnds = true;
        crowd.join();
        Kit.sleep(RECOVERY_MILLIS);
        double after = patient(mesh, "after", "tariff", 10_000);
        double other = patient(mesh, "after", "front", 5_000);
        double all = (2 * after + other) / 3;
        Kit.log(String.format("served before %.2f; after: kind tariff %.2f, kind front %.2f, all %.2f", before, after,
                other, all));
        return before > 0.9 && after < all / 4;
    }

    /** The core machines lose power at once: they say nothing any more, and their processes are gone. */
    private static void loseCore(Kit.Mesh mesh) throws Exception {
        for (int i = 1; i <= 3; i++) {
            mesh.signal("controller-" + i, "STOP");
        }
        Kit.sleep(DARK_MILLIS);
        for (int i = 1; i <= 3; i++) {
            mesh.signal("controller-" + i, "KILL");
        }
        for (int i = 1; i <= 3; i++) {
            mesh.processes.get("controller-" + i).waitFor();
            mesh.launch("controller-" + i, "controller");
        }
    }

    private static String service(String name) {
        return "\"" + name + "\":{\"healthPath\":\"/health\",\"maxConnections\":110,\"configVersion\":\"r1\"}";
    }

    private static String route(String name) {
        return "\"r-" + name + "\":{\"hostname\":\"" + name + ".example\",\"pathPrefix\":\"/\",\"service\":\"" + name
                + "\",\"routeType\":\"idempotent\",\"timeout\":\"2000ms\",\"targetLatency\":\"" + AIM_MILLIS
                + "ms\",\"priority\":1,\"maxAttempts\":2,\"configVersion\":\"r1\"}";
    }

    /** Two requests a second of a patient client, which is well within the limit; returns the share that is served. */
    private static double patient(Kit.Mesh mesh, String phase, String kind, long millis) throws Exception {
        int served = 0;
        int sent = 0;
        for (long end = Kit.nowMillis() + millis; Kit.nowMillis() < end; Kit.sleep(500)) {
            String id = phase + "-" + kind + "-" + ++sent;
            Kit.Answer answer = mesh.request(1, id, kind + ".example", "GET", "/x", 2_000,
                    List.of("Cypressweir-Key: " + KEY), new byte[0], 4_000);
            served += answer.status == 200 ? 1 : 0;
            Kit.log(id + " answered " + answer.status);
        }
        Kit.log(phase + " " + kind + ": " + served + " of " + sent + " served");
        return served / (double) sent;
    }

    /** Clients within the limit, half of which give up within half the aim. */
    private static void crowd(Kit.Mesh mesh) {
        Random random = new Random(86);
        AtomicInteger gaveUp = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        try {
            for (int n = 1; !crowdEnds; n++) {
                String id = "crowd-" + n;
                boolean givesUp = Kit.TROUBLE && random.nextInt(2) == 0;
                int patience = givesUp ? 1 + random.nextInt(AIM_MILLIS / 2) : 4_000;
                threads.add(Kit.thread(() -> impatient(mesh, id, patience, gaveUp)));
                Kit.sleep(1_000 / PER_SECOND);
            }
            for (Thread each : threads) {
                each.join();
            }
        } catch (InterruptedException e) {
            Kit.log("crowd interrupted");
        }
        Kit.log("crowd: " + threads.size() + " requests, " + gaveUp + " given up");
    }

    private static void impatient(Kit.Mesh mesh, String id, int patience, AtomicInteger gaveUp) {
        List<String> headers = List.of(
                "Cypressweir-Key: " + KEY, "Cypressweir-Attempt-Id: " + id, "Cypressweir-Time-Remaining: 2000");
        try (Socket socket = Kit.connect(mesh.proxy(1), 7502, patience)) {
            socket.getOutputStream().write(Kit.head("GET", "/x", "tariff.example", headers, 0));
            Kit.Answer answer = Kit.readAnswer(new BufferedInputStream(socket.getInputStream()));
            Kit.log(id + " answered " + answer.status);
        } catch (SocketTimeoutException e) {
            gaveUp.incrementAndGet();
            Kit.log(id + " gave up after " + patience + " ms");
        } catch (IOException e) {
            Kit.log(id + " failed " + e);
        }
    }
}
