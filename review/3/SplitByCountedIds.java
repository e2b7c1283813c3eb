import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An operator splits a route evenly between two services. Clients number their requests, each id has 16 hexadecimal
 * digits. In a calm time of 400 requests the share of each part must lie within 0.2 of its weight's.
 */
public final class SplitByCountedIds {

    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final String SERVICE = "{\"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\","
            + "\"tls\":false,\"configVersion\":\"r1\"}";
    private static final String ROUTE = "\"r-read\":{\"hostname\":\"read.example\",\"pathPrefix\":\"/r/\","
            + "\"routeType\":\"idempotent\",\"timeout\":\"2500ms\",\"targetLatency\":\"400ms\",\"priority\":1,"
            + "%s,\"maxAttempts\":2,\"publicAccess\":true,\"configVersion\":\"%s\"}";
    private static final String FIRST = "{\"upsert\":{\"serviceTable\":{\"beta\":" + SERVICE + ",\"gamma\":" + SERVICE
            + "},\"routeTable\":{" + String.format(ROUTE, "\"service\":\"beta\"", "r1") + "}}}";
    private static final String SPLIT = "{\"upsert\":{\"routeTable\":{" + String.format(ROUTE,
            "\"weightedSplit\":[{\"service\":\"beta\",\"weight\":50},{\"service\":\"gamma\",\"weight\":50}]", "r2")
            + "}}}";
    private static final double GAMMA_WEIGHT = 0.5;
    private static final double BOUND = 0.2;
    private static final int REQUESTS = 400;
    private static final int GAP_MILLIS = 25;

    private final Mesh mesh;
    private final Record record;

    private SplitByCountedIds(Mesh mesh, Record record) {
        this.mesh = mesh;
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        int status = 2;
        Path dir = Files.createTempDirectory("review");
        try (Record record = new Record(Path.of(args[1])); Mesh mesh = new Mesh(Path.of(args[0]), dir, record)) {
            Runtime.getRuntime().addShutdownHook(new Thread(mesh::close));
            status = new SplitByCountedIds(mesh, record).run();
            record.line("exit status " + status);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    private int run() throws Exception {
        for (int i = 1; i <= 3; i++) {
            mesh.startController(i, true);
        }
        String[] services = {"alpha", "beta", "gamma"};
        AtomicInteger[] runs = {new AtomicInteger(), new AtomicInteger(), new AtomicInteger()};
        for (int i = 1; i <= 3; i++) {
            AtomicInteger count = runs[i - 1];
            mesh.startProxy(i, services[i - 1], true);
            new App(mesh, i, services[i - 1], "i-" + i, request -> {
                count.incrementAndGet();
                return new byte[100];
            });
        }
        if (mesh.modify(FIRST, 20_000).status() != 200) {
            return 2;
        }
        for (int i = 1; i <= 3; i++) {
            mesh.awaitReady(i, 20_000);
        }
        Thread.sleep(2_000);
        if (TROUBLE && mesh.modify(SPLIT, 20_000).status() != 200) {
            return 2;
        }
        // Longer than contact and configApply: the machines are in touch, and the change is in force.
        Thread.sleep(4_000);
        int served = 0;
        for (int i = 1; i <= REQUESTS; i++) {
            served += request(String.format(Locale.ROOT, "%016x", i)) == 200 ? 1 : 0;
            Thread.sleep(GAP_MILLIS);
        }
        double share = runs[2].get() / (double) Math.max(1, runs[1].get() + runs[2].get());
        String result = String.format(Locale.ROOT, "served %d of %d; beta ran %d, gamma ran %d: share of gamma %.3f, its "
                + "weight's %.3f", served, REQUESTS, runs[1].get(), runs[2].get(), share, TROUBLE ? GAMMA_WEIGHT : 0);
        record.line(result);
        System.out.println(result);
        if (served < REQUESTS) {
            return 2;
        }
        return Math.abs(share - (TROUBLE ? GAMMA_WEIGHT : 0)) > BOUND ? 1 : 0;
    }

    private int request(String id) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "read.example");
        headers.put("Cypressweir-Attempt-Id", id);
        headers.put("Cypressweir-Time-Remaining", "2500");
        record.line("client sends " + id);
        int status = Http.call(mesh.outbound(1), "GET", "/r/x", headers, new byte[0], 5_000).status();
        record.line("client " + id + " got " + status);
        return status;
    }
}
