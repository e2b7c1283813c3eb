import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An operator withdraws the only tenant of a configuration. Its key is dropped and no other key was ever held, so no
 * request on a route without publicAccess may run from configApply after the acknowledgement on.
 */
public final class LastTenantWithdrawn {

    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final String CONFIGURATION = "{\"upsert\":{\"serviceTable\":{\"beta\":{\"healthPath\":\"/health\","
            + "\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false,\"configVersion\":\"r1\"}},\"routeTable\":{"
            + "\"r-beta\":{\"hostname\":\"beta.example\",\"pathPrefix\":\"/b/\",\"routeType\":\"non_idempotent\","
            + "\"timeout\":\"2500ms\",\"targetLatency\":\"400ms\",\"priority\":1,\"service\":\"beta\","
            + "\"maxAttempts\":2,\"publicAccess\":false,\"configVersion\":\"r1\"}},\"tenantTable\":{"
            + "\"solo\":{\"apiKeys\":[\"key-solo\"],\"priority\":1,\"ratePerS\":60,\"burstSize\":60,"
            + "\"configVersion\":\"r1\"}},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
            + "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\",\"configVersion\":\"r1\"}}}";
    private static final String WITHDRAWAL =
            "{\"withdraw\":{\"tenantTable\":[{\"name\":\"solo\",\"configVersion\":\"r2\"}]}}";
    /** The bound configApply of the settings. */
    private static final int CONFIG_APPLY_MILLIS = 2_500;

    private static final int REQUESTS = 40;

    private final Mesh mesh;
    private final Record record;
    /** How many requests the server ran, by the key they carried. */
    private final AtomicInteger ranWithHeldKey = new AtomicInteger();

    private final AtomicInteger ranWithOtherKey = new AtomicInteger();

    private LastTenantWithdrawn(Mesh mesh, Record record) {
        this.mesh = mesh;
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        int status = 2;
        Path dir = Files.createTempDirectory("review");
        try (Record record = new Record(Path.of(args[1])); Mesh mesh = new Mesh(Path.of(args[0]), dir, record)) {
            Runtime.getRuntime().addShutdownHook(new Thread(mesh::close));
            status = new LastTenantWithdrawn(mesh, record).run();
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
        mesh.startProxy(1, "alpha", true);
        mesh.startProxy(2, "beta", true);
        new App(mesh, 1, "alpha", "i-1", request -> new byte[100]);
        new App(mesh, 2, "beta", "i-2", request -> {
            boolean held = request.header("Cypressweir-Attempt-Id").startsWith("held");
            (held ? ranWithHeldKey : ranWithOtherKey).incrementAndGet();
            return new byte[100];
        });
        if (mesh.modify(CONFIGURATION, 20_000).status() != 200) {
            return 2;
        }
        mesh.awaitReady(1, 20_000);
        mesh.awaitReady(2, 20_000);
        // More than contact passes without trouble: all machines are in touch.
        Thread.sleep(4_000);
        send("before");
        if (ranWithHeldKey.get() != REQUESTS || ranWithOtherKey.get() != 0) {
            return 2;
        }
        if (TROUBLE && mesh.modify(WITHDRAWAL, 20_000).status() != 200) {
            return 2;
        }
        Thread.sleep(CONFIG_APPLY_MILLIS + 1_500);
        ranWithHeldKey.set(0);
        ranWithOtherKey.set(0);
        send("after");
        record.line("operator reads back: " + mesh.read(10_000).text());
        String result = "after the withdrawal the server ran " + ranWithHeldKey + " requests with the key that was "
                + (TROUBLE ? "dropped" : "held") + ", and " + ranWithOtherKey + " with a key that was never held, of "
                + REQUESTS + " each";
        record.line(result);
        System.out.println(result);
        boolean broken = ranWithOtherKey.get() > 0 || TROUBLE && ranWithHeldKey.get() > 0;
        return broken ? 1 : 0;
    }

    private void send(String phase) throws IOException, InterruptedException {
        for (int i = 0; i < REQUESTS; i++) {
            request("held-" + phase + "-" + i, "key-solo");
            request("other-" + phase + "-" + i, "key-nobody");
            Thread.sleep(50);
        }
    }

    private void request(String id, String key) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "beta.example");
        headers.put("Cypressweir-Attempt-Id", id);
        headers.put("Cypressweir-Time-Remaining", "2500");
        headers.put("Cypressweir-Key", key);
        record.line("client sends " + id + " with " + key);
        int status = Http.call(mesh.outbound(1), "POST", "/b/x", headers, new byte[10], 5_000).status();
        record.line("client " + id + " got " + status);
    }
}
