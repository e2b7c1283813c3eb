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

/** The parsed file: each section with its values and line numbers, before cross-section checks. */
record OperatorsFile(
        List<ListenerSection> listeners,
        Map<String, PoolSection> pools,
        Map<String, ClassSection> classes,
        List<RouteSection> routes,
        List<PluginSection> plugins,
        FleetSection fleet,
        MembershipSection membership,
        LeaseOptions leases) {

    /** Plug-ins are called in ascending order of {@code order}, then by name. */
    record PluginSection(int order, PluginConfiguration configuration) {}

    /**
     * Limits that all instances share; null where the file does not set them.
     *
     * @param instances number of instances, or the maximum if {@code fromMembership}
     * @param fromMembership whether the live members are counted
     * @param lines line numbers by key
     */
    record FleetSection(
            int line,
            int instances,
            boolean fromMembership,
            double listRate,
            Long idlePerServer,
            double probeRate,
            Map<String, Integer> lines) {}

    /** Options of the membership protocol; null if this process does not take part. */
    record MembershipSection(int line, MembershipOptions options) {}

    record ListenerSection(String name, int line, InetSocketAddress address) {}

    /** A pool of servers; {@code servers} is null if they come from discovery. */
    record PoolSection(
            String name,
            int line,
            List<StaticServer> servers,
            LimitSet limits,
            TunnelLimits tunnels,
            CellsSection cells) {}

    /** How a pool is divided into cells, without what the classes of its routes add; lines by key or move. */
    record CellsSection(CellsConfiguration configuration, Map<String, Integer> lines) {
        int lineOf(String key) {
            return lines.get(key);
        }
    }

    /** A pool's limits on upgraded connections (tunnels); null where not set. */
    record TunnelLimits(Long max, Long maxPerServer, long upgradeRate) {}

    record ClassSection(String name, int line, LimitSet limits, Setting<Long> clientGivesUp) {}

    /**
     * A route; values that could not be read are null and have been reported.
     *
     * @param firstMessageLine line of {@code resume_first_message}; 0 without a WebSocket section
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
