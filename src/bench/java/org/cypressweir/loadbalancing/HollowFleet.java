package org.cypressweir.loadbalancing;

import io.vavr.control.Either;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.math.BigDecimal;
import java.math.MathContext;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.ConfigurationChange;
import org.cypressweir.controlplane.configuration.Rejection;
import org.cypressweir.controlplane.registry.ApplicationInstance;
import org.cypressweir.controlplane.registry.ProxyRegistration;

/** What benches of large fleets share: hollow pilots, a configuration, processor time, and slopes. */
public final class HollowFleet {

    public static final int SERVICES = 220;
    public static final int ZONES = 13;
    public static final int HARBOURS = 6;
    private static final int ROUTES = 1_000;
    private static final int TENANTS = 1_500;
    private static final int TARGET = 4_000;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private HollowFleet() {}

    /** The berth of the pilot of that index. */
    public static ProxyRegistration berth(int i, long number) {
        return berth(i, number, "127.20." + i / 250 + "." + (1 + i % 250));
    }

    public static ProxyRegistration berth(int i, long number, String ip) {
        String service = "service-" + i % SERVICES;
        return new ProxyRegistration(
                "side-" + i,
                1_796_000_000_000_000L + i,
                number,
                ip + ":21700",
                ip + ":21790",
                "zone-" + i % ZONES,
                service,
                false,
                new ApplicationInstance(service + "-i-" + i, service, ip + ":21800", 16, false, 0));
    }

    public static Configuration manifest() {
        String services = IntStream.range(0, SERVICES)
                .mapToObj(i -> "'service-" + i + "':{'healthPath':'/health','maxConnections':32,'configVersion':'r1'}")
                .collect(Collectors.joining(","));
        String routes = IntStream.range(0, ROUTES).mapToObj(i -> route(i, 1)).collect(Collectors.joining(","));
        String tenants = IntStream.range(0, TENANTS)
                .mapToObj(i -> "'tenant-" + i + "':{'apiKeys':['key-" + i
                        + "'],'ratePerS':50,'burstSize':20,'configVersion':'r1'}")
                .collect(Collectors.joining(","));
        return changed(
                Configuration.EMPTY,
                "{'upsert':{'serviceTable':{" + services + "},'routeTable':{" + routes + "},'tenantTable':{" + tenants
                        + "}}}");
    }

    /** That manifest with one route of this version. */
    public static Configuration next(Configuration manifest, int version) {
        return changed(manifest, "{'upsert':{'routeTable':{" + route(version % ROUTES, version) + "}}}");
    }

    private static String route(int i, int version) {
        return "'route-" + i + "':{'hostname':'h" + i % SERVICES + ".mesh','pathPrefix':'/p" + i
                + "/','routeType':'idempotent','timeout':'4s','targetLatency':'3s','priority':1,'service':"
                + "'service-" + i % SERVICES + "','maxAttempts':3,'publicAccess':false,'configVersion':'r"
                + version + "'}";
    }

    private static Configuration changed(Configuration manifest, String order) {
        Either<Rejection, ConfigurationChange> read =
                ConfigurationChange.read(order.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
        return manifest.with(read.flatMap(o -> o.applyTo(manifest)).get());
    }

    /** Processor time of this thread for one, in microseconds: the median of rounds, after as many. */
    public static double micros(int rounds, Runnable one) {
        double[] each = new double[rounds];
        for (int i = -rounds; i < rounds; i++) {
            long begun = THREADS.getCurrentThreadCpuTime();
            one.run();
            each[Math.max(0, i)] = (THREADS.getCurrentThreadCpuTime() - begun) / 1e3;
        }
        Arrays.sort(each);
        return each[rounds / 2];
    }

    /** Bytes of the heap that are in use. */
    public static long heap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /**
     * How what was measured grows: y = c n^power by least squares over logarithms, what that gives at the
     * target, and the part by which it may be off there, two standard errors of the fit.
     */
    private static Map<String, Object> slope(double[] n, double[] y) {
        int m = n.length;
        double[] x = Arrays.stream(n).map(Math::log).toArray();
        double[] z = Arrays.stream(y).map(v -> Math.log(Math.max(v, 1e-9))).toArray();
        double mx = Arrays.stream(x).average().orElse(0);
        double mz = Arrays.stream(z).average().orElse(0);
        double sxx = 0;
        double sxz = 0;
        for (int i = 0; i < m; i++) {
            sxx += (x[i] - mx) * (x[i] - mx);
            sxz += (x[i] - mx) * (z[i] - mz);
        }
        double power = sxz / sxx;
        double off = 0;
        for (int i = 0; i < m; i++) {
            double rest = z[i] - mz - power * (x[i] - mx);
            off += rest * rest;
        }
        double at = Math.log(TARGET) - mx;
        double error = Math.sqrt(off / Math.max(1, m - 2) * (1 + 1.0 / m + at * at / sxx));
        Map<String, Object> slope = new LinkedHashMap<>();
        slope.put("power", round(power));
        slope.put("at4000", round(Math.exp(mz + power * at)));
        slope.put("range", round(Math.exp(2 * error)));
        return slope;
    }

    /** What a bench finds at a size. */
    public interface AtSize {
        Map<String, Double> found(int n, long seed) throws Exception;
    }

    /**
     * A seed and one size: measured here, and told as one object. More sizes: each in a process of its
     * own, so that none holds memory of another, and then the slopes.
     */
    public static void run(Class<?> bench, String[] args, AtSize at) throws Exception {
        String[] given = String.join(" ", args).split(" ");
        if (given.length == 2) {
            Map<String, Object> told = new LinkedHashMap<>();
            told.put("n", Integer.parseInt(given[1]));
            at.found(Integer.parseInt(given[1]), Long.parseLong(given[0]))
                    .forEach((what, y) -> told.put(what, round(y)));
            System.out.println(new String(JsonCodec.bytes(told), StandardCharsets.UTF_8));
            return;
        }
        double[] sizes = new double[given.length - 1];
        Map<String, double[]> all = new LinkedHashMap<>();
        for (int s = 1; s < given.length; s++) {
            int place = s - 1;
            sizes[place] = Integer.parseInt(given[s]);
            Process process = new ProcessBuilder(
                            System.getProperty("java.home") + "/bin/java",
                            "-Xmx2g",
                            "-XX:+UseSerialGC",
                            "-XX:TieredStopAtLevel=1",
                            "-XX:CompileThresholdScaling=0.1",
                            "-XX:SoftRefLRUPolicyMSPerMB=0",
                            "-cp",
                            System.getProperty("java.class.path"),
                            bench.getName(),
                            given[0],
                            given[s])
                    .redirectError(ProcessBuilder.Redirect.DISCARD)
                    .start();
            byte[] line = process.getInputStream().readAllBytes();
            System.out.print(new String(line, StandardCharsets.UTF_8));
            JsonCodec.read(line, 0, line.length)
                    .forEach((what, y) -> all.computeIfAbsent(what, k -> new double[sizes.length])[place] =
                            ((Number) y).doubleValue());
        }
        all.remove("n");
        all.forEach((what, y) -> {
            Map<String, Object> told = new LinkedHashMap<>();
            told.put("what", what);
            told.putAll(slope(sizes, y));
            System.out.println(new String(JsonCodec.bytes(told), StandardCharsets.UTF_8));
        });
    }

    /** With four digits that count. */
    private static double round(double value) {
        return new BigDecimal(value).round(new MathContext(4)).doubleValue();
    }
}
