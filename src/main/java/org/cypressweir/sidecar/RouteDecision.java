package org.cypressweir.sidecar;

import org.cypressweir.loadbalancing.LoadBalancer.RequestPolicy;

/**
 * The route of a request and the rules that apply to it.
 *
 * @param requestClass the index of its class in the settings
 * @param uri the URI sent to the server
 * @param host the {@code Host} sent to the server; null to keep the client's
 * @param timeoutMicros the maximum duration, whatever time-out the client asks for
 * @param upgrade the requested upgrade; null for a plain request
 */
record RouteDecision(
        Cluster cluster,
        int requestClass,
        String uri,
        String host,
        long timeoutMicros,
        RequestPolicy terms,
        Upgrade upgrade) {

    /** A copy with another request class. */
    RouteDecision ofClass(int other) {
        return new RouteDecision(cluster, other, uri, host, timeoutMicros, terms, upgrade);
    }
}
