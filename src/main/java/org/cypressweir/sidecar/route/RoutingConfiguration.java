package org.cypressweir.sidecar.route;

import java.util.List;
import org.cypressweir.fleet.membership.MembershipOptions;
import org.cypressweir.sidecar.fleetlimits.FleetLimits;

/**
 * The contents of an operators' file, validated and compiled; applied as a whole or not at all.
 *
 * @param webSockets whether any route allows WebSocket connections
 * @param plugins in the order in which they are called; empty for none
 * @param fleet limits on shared resources for all instances together; null for no limits
 * @param membership options for this process's membership in the fleet; null if it does not take part
 */
public record RoutingConfiguration(
        List<Listener> listeners,
        List<PoolConfiguration> pools,
        Router<Target> router,
        boolean webSockets,
        List<PluginConfiguration> plugins,
        FleetLimits fleet,
        MembershipOptions membership) {}
