package org.cypressweir.sidecar;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.cypressweir.sidecar.admin.SidecarMetrics;

/**
 * The requests in flight in this process, across all pools; a request id is in flight at most once. Requests are
 * counted here when they arrive and when they end, so that no listener or pool can omit one.
 */
final class InFlightRequests {

    private final SidecarMetrics metrics = new SidecarMetrics();
    private final Map<String, ClientRequest> byId = new HashMap<>();
    private final Map<ClientRequest.Client, ClientRequest> byClient = new HashMap<>();

    SidecarMetrics metrics() {
        return metrics;
    }

    /** Adds a request; false if its id is already in flight. */
    boolean add(ClientRequest call) {
        if (byId.putIfAbsent(call.request.id(), call) != null) {
            return false;
        }
        byClient.put(call.client, call);
        metrics.requestReceived();
        return true;
    }

    int count() {
        return byId.size();
    }

    ClientRequest get(String id) {
        return byId.get(id);
    }

    /** Indexes of the classes of all requests, including finished ones that still have an attempt at a server. */
    Set<Integer> classes() {
        return byId.values().stream().map(c -> c.request.requestClass()).collect(Collectors.toSet());
    }

    /** The request that this client waits for, or null. */
    ClientRequest of(ClientRequest.Client client) {
        return byClient.get(client);
    }

    /** No response is due to the client any more; the ending is null if the client has left. */
    void finished(ClientRequest call, SidecarMetrics.Ending ending) {
        byClient.remove(call.client);
        if (ending == null) {
            metrics.clientLeft();
        } else {
            metrics.requestEnded(call.className, ending);
        }
    }

    /** Removes a request whose attempts have ended and releases its body. */
    void remove(ClientRequest call) {
        byId.remove(call.request.id(), call);
        call.body.release();
    }
}
