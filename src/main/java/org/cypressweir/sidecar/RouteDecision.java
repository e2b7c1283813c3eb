package org.cypressweir.sidecar;

import org.cypressweir.loadbalancing.LoadBalancer.Terms;

/**
 * Where a request goes, and what holds for it on the way.
 *
 * @param requestClass its place among the classes of the settings
 * @param uri what goes on to the server
 * @param host what goes on as {@code Host} in place of what came; null where that stays
 * @param timeoutMicros the longest that it may take, whatever its client says
 * @param upgrade the upgrade that it asks for; null for a plain request
 */
record RouteDecision(
        Cluster cluster, int requestClass, String uri, String host, long timeoutMicros, Terms terms, Upgrade upgrade) {

    /** The same for a request of another class. */
    RouteDecision ofClass(int other) {
        return new RouteDecision(cluster, other, uri, host, timeoutMicros, terms, upgrade);
    }
}
