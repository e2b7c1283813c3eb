package org.cypressweir.sidecar.route;

import java.util.List;
import org.cypressweir.fleet.membership.MembershipOptions;
import org.cypressweir.sidecar.fleetlimits.FleetLimits;

/**
 * All that an operators' file says, checked and compiled; taken over whole or not at all.
 *
 * @param webSockets whether any route has WebSockets
 * @param plugins in their order; empty for none
 * @param fleet what all instances together may ask of what they share; null for no bounds
 * @param membership how this process takes part among others; null where it does not
 */
public record RoutingConfiguration(
        List<Listener> listeners,
        List<PoolConfiguration> pools,
        Router<Target> router,
        boolean webSockets,
        List<PluginConfiguration> plugins,
        FleetLimits fleet,
        MembershipOptions membership) {}
