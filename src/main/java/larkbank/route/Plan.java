package larkbank.route;

import java.util.List;

/**
 * All that an operators' file says, checked and compiled; taken over whole or not at all.
 *
 * @param webSockets whether any route has WebSockets
 */
public record Plan(List<Listener> listeners, List<PoolPlan> pools, Router<Target> router,
        boolean webSockets) { }
