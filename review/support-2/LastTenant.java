import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The operator withdraws the tenants one after the other; then their keys, and one that never was a key, are used. */
final class LastTenant {

    private static final int CONFIG_APPLY_MILLIS = 2_500;
    private static final String FIRST = "key-of-first";
    private static final String SECOND = "key-of-second";
    private static final String UNKNOWN = "never-a-key";

    private static final Set<String> ran = ConcurrentHashMap.newKeySet();

    public static void main(String[] args) throws Exception {
        Kit.main(args[0], LastTenant::run);
    }

    private static boolean run(Kit.Mesh mesh) throws Exception {
        mesh.start("front", "billing");
        Kit.Handler handler = request -> {
            ran.add(request.id());
            Kit.log("server runs " + request.id() + " of tenant "
                    + request.headers.getOrDefault("cypressweir-tenant-name", "(none)"));
            return ("session of " + request.path).getBytes();
        };
        mesh.server(1, "front", "front-1", 12, handler);
        mesh.server(2, "billing", "billing-2", 12, handler);
        mesh.modify("{\"upsert\":{\"serviceTable\":{" + service("front") + "," + service("billing")
                + "},\"routeTable\":{\"r-session\":{\"hostname\":\"session.example\",\"pathPrefix\":\"/\",\"service\":"
                + "\"billing\",\"routeType\":\"non_idempotent\",\"timeout\":\"2500ms\",\"targetLatency\":\"400ms\","
                + "\"priority\":1,\"maxAttempts\":2,\"publicAccess\":false,\"configVersion\":\"r1\"}},\"tenantTable\":{"
                + tenant("first", FIRST) + "," + tenant("second", SECOND) + "}}}");
        mesh.awaitReady(1, 2);
        Kit.sleep(3_000);
        boolean sound = send(mesh, "before", FIRST) == 200 && send(mesh, "before", SECOND) == 200
                && send(mesh, "before", UNKNOWN) == 401;
        if (!sound) {
            throw new IllegalStateException("the keys don't work before the change");
        }
        if (Kit.TROUBLE) {
            withdraw(mesh, "first");
            Kit.sleep(2 * CONFIG_APPLY_MILLIS);
            send(mesh, "between", FIRST);
            withdraw(mesh, "second");
        }
        Kit.sleep(2 * CONFIG_APPLY_MILLIS);
        for (int i = 0; i < 10; i++) {
            for (String key : List.of(FIRST, SECOND, UNKNOWN)) {
                send(mesh, "after-" + i, key);
            }
            Kit.sleep(200);
        }
        Kit.log("read: " + mesh.read());
        long dropped = count(FIRST) + count(SECOND);
        long never = count(UNKNOWN);
        Kit.log("after the withdrawals ran: " + dropped + " of 20 with dropped keys, " + never
                + " of 10 with a key that no configuration ever held");
        return Kit.TROUBLE ? dropped + never > 0 : never > 0;
    }

    private static long count(String key) {
        return ran.stream().filter(id -> id.startsWith("after") && id.endsWith(key)).count();
    }

    private static String service(String name) {
        return "\"" + name + "\":{\"healthPath\":\"/health\",\"maxConnections\":110,\"configVersion\":\"r1\"}";
    }

    private static String tenant(String name, String key) {
        return "\"" + name + "\":{\"apiKeys\":[\"" + key + "\"],\"priority\":1,\"ratePerS\":60,\"burstSize\":60,"
                + "\"configVersion\":\"r1\"}";
    }

    private static void withdraw(Kit.Mesh mesh, String tenant) throws InterruptedException {
        mesh.modify("{\"upsert\":{},\"withdraw\":{\"tenantTable\":[{\"name\":\"" + tenant
                + "\",\"configVersion\":\"r2\"}]}}");
    }

    private static int send(Kit.Mesh mesh, String phase, String key) throws Exception {
        String id = phase + "-" + key;
        Kit.Answer answer = mesh.request(1, id, "session.example", "POST", "/stop/7", 2_500,
                List.of("Cypressweir-Key: " + key), new byte[10], 4_000);
        Kit.log(id + " answered " + answer.status);
        return answer.status;
    }
}
