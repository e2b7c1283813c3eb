package org.cypressweir.testkit;

import java.net.InetSocketAddress;
import java.util.List;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.Group;
import org.cypressweir.loadbalancing.LoadBalancer.Limits;
import org.cypressweir.loadbalancing.LoadBalancer.ReportSource;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;
import org.cypressweir.loadbalancing.LoadBalancer.Rules;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.cypressweir.sidecar.operatorconfig.Facts;

/** The installations against which tests check operators' configuration files. */
public final class Installations {

    /** For how long servers discard repeated requests of class {@code hold}. */
    public static final long DEDUP_WINDOW_MICROS = 500_000;

    private Installations() {}

    private static RequestClass requestClass(String name, Effect effect, Group group, long deadline) {
        return new RequestClass(name, effect, group, DEDUP_WINDOW_MICROS, 400_000, 0, deadline, 1, 0.3, false);
    }

    /** Four classes (one of them keyed within a zone), two zones, six attempts, hedged requests allowed. */
    public static Settings settings(long seed) {
        return new Settings(
                seed,
                0,
                1,
                0,
                List.of("a", "b"),
                List.of(
                        requestClass("search", Effect.SAFE, Group.ALL, 1_500_000),
                        requestClass("hold", Effect.KEYED, Group.ZONE, 3_000_000),
                        requestClass("book", Effect.UNSAFE, Group.ALL, 5_000_000),
                        requestClass("pay", Effect.UNSAFE, Group.ALL, 4_000_000)),
                List.of(),
                1,
                0,
                new Limits(6, true, false, true, 2_000_000, 10_000_000, 300, Integer.MAX_VALUE, true, 444),
                new Rules(0.3, 1_000_000, 1_000_000, 10_000_000, 0, 0, 0),
                ReportSource.NONE,
                false,
                false,
                1_000);
    }

    /** The facts that the example file refers to: a station finder's classes and zones. */
    public static Facts stationFinder() {
        Settings s = settings(7);
        List<RequestClass> classes =
                s.classes().stream().filter(c -> !c.name().equals("hold")).toList();
        List<String> zones = List.of("port-louis", "ebene", "curepipe", "grand-baie", "mahebourg");
        return new Facts(
                new Settings(
                        7,
                        0,
                        1,
                        0,
                        zones,
                        classes,
                        List.of(),
                        1,
                        0,
                        s.limits(),
                        s.rules(),
                        s.reports(),
                        false,
                        false,
                        1_000),
                zones,
                List.of("large", "medium", "small"),
                444,
                new InetSocketAddress("127.0.0.1", 8443));
    }

    public static Facts facts() {
        return new Facts(settings(7), List.of("a", "b"), List.of("m"), 444, new InetSocketAddress("127.0.0.1", 8443));
    }
}
