package org.cypressweir.sidecar.operatorconfig;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.cypressweir.fleet.lease.LeaseOptions;
import org.cypressweir.fleet.membership.MembershipOptions;
import org.cypressweir.sidecar.cell.CellsConfiguration;
import org.cypressweir.sidecar.route.Match;
import org.cypressweir.sidecar.route.PluginConfiguration;
import org.cypressweir.sidecar.route.StaticServer;
import org.cypressweir.sidecar.route.WebSocketLimits;

/** A file as it is written: each section with its values and their lines, before anything is compared. */
record OperatorsFile(
        List<ListenerSection> listeners,
        Map<String, PoolSection> pools,
        Map<String, ClassSection> classes,
        List<RouteSection> routes,
        List<PluginSection> plugins,
        FleetSection fleet,
        MembershipSection membership,
        LeaseOptions leases) {

    /** Called in the order of these numbers, of equals in that of their names. */
    record PluginSection(int order, PluginConfiguration configuration) {}

    /** What all instances share; null where the file does not say; lines by key. */
    record FleetSection(
            int line,
            int instances,
            boolean fromMembership,
            double listRate,
            Long idlePerServer,
            double probeRate,
            Map<String, Integer> lines) {}

    /** How this process takes part among others; null where it does not. */
    record MembershipSection(int line, MembershipOptions options) {}

    record ListenerSection(String name, int line, InetSocketAddress address) {}

    /** Servers are null where discovery tells them; groups are the lines of their entries. */
    record PoolSection(
            String name,
            int line,
            List<StaticServer> servers,
            LimitSet limits,
            TunnelLimits tunnels,
            CellsSection cells) {}

    /** How a pool is parted, without what its routes' classes add; the lines are by key or move. */
    record CellsSection(CellsConfiguration configuration, Map<String, Integer> lines) {
        int lineOf(String key) {
            return lines.get(key);
        }
    }

    /** What a pool says of connections that stay; null where it does not. */
    record TunnelLimits(Long max, Long maxPerServer, long upgradeRate) {}

    record ClassSection(String name, int line, LimitSet limits, Setting<Long> clientGivesUp) {}

    /**
     * What could not be read is null; it has been reported. The line says that a first message is repeated.
     */
    record RouteSection(
            String name,
            int line,
            Match match,
            Setting<String> requestClass,
            Setting<String> pool,
            LimitSet limits,
            WebSocketLimits webSocket,
            int firstMessageLine) {}
}
