package org.cypressweir.sidecar.operatorconfig;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.FileSystemException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cypressweir.fleet.membership.MembershipOptions;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;
import org.cypressweir.sidecar.fleetlimits.FleetLimits;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.PluginSection;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.PoolSection;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.RouteSection;
import org.cypressweir.sidecar.route.Listener;
import org.cypressweir.sidecar.route.PoolConfiguration;
import org.cypressweir.sidecar.route.PoolConfiguration.TunnelLimits;
import org.cypressweir.sidecar.route.Route;
import org.cypressweir.sidecar.route.Router;
import org.cypressweir.sidecar.route.RoutingConfiguration;
import org.cypressweir.sidecar.route.Target;

/** A valid operators' file: the configuration in force, and the origin of each value. */
public final class Operators {

    private final Facts facts;
    private final OperatorsFile file;
    private final Map<String, RouteLimits> limits = new LinkedHashMap<>();
    private final RoutingConfiguration configuration;

    private Operators(Facts facts, OperatorsFile file) {
        this.facts = facts;
        this.file = file;
        List<Route<Target>> routes = new ArrayList<>();
        for (RouteSection route : file.routes()) {
            RequestClass requestClass =
                    facts.requestClass(route.requestClass().value()).orElseThrow();
            RouteLimits routeLimits = RouteLimits.of(
                    route,
                    requestClass,
                    file.classes().get(requestClass.name()),
                    file.pools().get(route.pool().value()),
                    facts.settings().limits());
            limits.put(route.name(), routeLimits);
            routes.add(new Route<>(
                    route.name(),
                    route.match(),
                    new Target(
                            route.pool().value(),
                            facts.settings().classes().indexOf(requestClass),
                            routeLimits.timeout().value(),
                            routeLimits.terms(),
                            route.webSocket())));
        }
        configuration = new RoutingConfiguration(
                listeners(),
                pools(),
                new Router<>(routes),
                routes.stream().anyMatch(r -> r.target().webSocket() != null),
                file.plugins().stream()
                        .sorted(Comparator.comparingInt(PluginSection::order)
                                .thenComparing(s -> s.configuration().name()))
                        .map(PluginSection::configuration)
                        .toList(),
                fleetLimits(),
                membershipOptions());
    }

    /**
     * Reads and checks a whole file, continuing after problems.
     *
     * @throws InvalidFileException with all problems, ordered by line
     */
    public static Operators load(Path path, Facts facts) throws InvalidFileException {
        Problems problems = new Problems(path.toString());
        String text;
        try {
            text = Files.readString(path);
        } catch (CharacterCodingException e) {
            problems.add(1, "not UTF-8");
            throw new InvalidFileException(problems.sorted());
        } catch (FileSystemException e) {
            problems.add(1, "can't be read");
            throw new InvalidFileException(problems.sorted());
        } catch (IOException e) {
            problems.add(1, "can't be read: " + e.getMessage());
            throw new InvalidFileException(problems.sorted());
        }
        return load(path.toString(), path.toAbsolutePath().getParent(), text, facts);
    }

    /** Reads and checks a file whose text is already loaded. */
    public static Operators load(String name, String text, Facts facts) throws InvalidFileException {
        return load(name, null, text, facts);
    }

    private static Operators load(String name, Path folder, String text, Facts facts) throws InvalidFileException {
        Problems problems = new Problems(name);
        OperatorsFile file = null;
        try {
            file = new OperatorsReader(facts, folder, problems).read(text);
            if (file != null) {
                new Checks(facts, file, problems).run();
            }
        } catch (StackOverflowError e) {
            // The parser also recurses for constructs other than the brackets that TextLimits counts.
            problems.add(1, "nested too deep");
        }
        if (!problems.isEmpty()) {
            throw new InvalidFileException(problems.sorted());
        }
        return new Operators(facts, file);
    }

    /** The configuration that the sidecar applies. */
    public RoutingConfiguration configuration() {
        return configuration;
    }

    Facts facts() {
        return facts;
    }

    OperatorsFile file() {
        return file;
    }

    RouteLimits limits(String route) {
        return limits.get(route);
    }

    private FleetLimits fleetLimits() {
        OperatorsFile.FleetSection f = file.fleet();
        return f == null
                ? null
                : new FleetLimits(
                        f.instances(),
                        f.fromMembership() ? 0 : facts.settings().rank(),
                        f.listRate(),
                        f.idlePerServer() == null
                                ? Integer.MAX_VALUE
                                : f.idlePerServer().intValue(),
                        f.probeRate(),
                        f.fromMembership());
    }

    /**
     * The options with the shared limits. The sidecar keeps connections idle for only two thirds of the time after
     * which servers close them, so that time is one and a half times the sidecar's.
     */
    private MembershipOptions membershipOptions() {
        if (file.membership() == null) {
            return null;
        }
        MembershipOptions options = file.membership().options().withLeases(file.leases());
        return file.fleet() == null || !file.fleet().fromMembership()
                ? options
                : options.withShares(
                        file.fleet().instances(),
                        file.fleet().idlePerServer() == null
                                ? 0
                                : facts.settings().limits().idleMicros() / 2 * 3);
    }

    private List<Listener> listeners() {
        if (file.listeners().isEmpty()) {
            return List.of(new Listener("LB_LISTEN", facts.listen()));
        }
        return file.listeners().stream()
                .map(l -> new Listener(l.name(), l.address()))
                .toList();
    }

    private List<PoolConfiguration> pools() {
        List<PoolConfiguration> pools = new ArrayList<>();
        for (PoolSection pool : file.pools().values()) {
            int requests =
                    share(pool, LimitKey.MAX_REQUESTS, facts.settings().limits().maxOpen());
            Setting<Long> queue = pool.limits().number(LimitKey.MAX_QUEUE);
            pools.add(new PoolConfiguration(
                    pool.name(),
                    pool.servers(),
                    share(pool, LimitKey.MAX_CONNECTIONS, facts.serverConnections()),
                    requests,
                    queue == null ? Integer.MAX_VALUE : queue.value().intValue(),
                    tunnelLimits(pool),
                    pool.cells() == null ? null : CellsChecks.withClassLimits(pool, file, facts)));
        }
        return pools;
    }

    private TunnelLimits tunnelLimits(PoolSection pool) {
        // Unless the file sets a limit, half of the connections stay available for plain requests.
        int connections = share(pool, LimitKey.MAX_CONNECTIONS, facts.serverConnections());
        OperatorsFile.TunnelLimits set = pool.tunnels();
        return new TunnelLimits(
                set.max() == null ? Math.max(1, connections / 2) : set.max().intValue(),
                set.maxPerServer() == null
                        ? Integer.MAX_VALUE
                        : set.maxPerServer().intValue(),
                (int) set.upgradeRate());
    }

    /** The pool's own limit, or an equal share of what the pools with a limit leave. */
    private int share(PoolSection target, LimitKey key, int total) {
        if (target.limits().number(key) != null) {
            return target.limits().number(key).value().intValue();
        }
        long remaining = total;
        int unsetPools = 0;
        for (PoolSection pool : file.pools().values()) {
            Setting<Long> set = pool.limits().number(key);
            remaining -= set == null ? 0 : set.value();
            unsetPools += set == null ? 1 : 0;
        }
        return (int) Math.max(1, remaining / unsetPools);
    }
}
