package larkbank.route;

import java.util.List;
import larkbank.footprint.FleetPlan;
import larkbank.membership.MembershipPlan;

/**
 * All that an operators' file says, checked and compiled; taken over whole or not at all.
 *
 * @param webSockets whether any route has WebSockets
 * @param plugins in their order; empty for none
 * @param fleet what all instances together may ask of what they share; null for no bounds
 * @param membership how this process takes part among others; null where it does not
 */
public record Plan(
        List<Listener> listeners,
        List<PoolPlan> pools,
        Router<Target> router,
        boolean webSockets,
        List<PluginPlan> plugins,
        FleetPlan fleet,
        MembershipPlan membership) {}
