package org.cypressweir.sidecar;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.cypressweir.sidecar.admin.SidecarMetrics;

/**
 * The requests of the process, whatever pool has them: an id is in hand once at most. Each is counted here as
 * it comes and as it ends, so no front and no pool can leave one out.
 */
final class InFlightRequests {

    private final SidecarMetrics figures = new SidecarMetrics();
    private final Map<String, ClientRequest> calls = new HashMap<>();
    private final Map<ClientRequest.Client, ClientRequest> waiting = new HashMap<>();

    SidecarMetrics figures() {
        return figures;
    }

    /** Takes a request; false where its id is in hand already. */
    boolean add(ClientRequest call) {
        if (calls.putIfAbsent(call.request.id(), call) != null) {
            return false;
        }
        waiting.put(call.client, call);
        figures.taken();
        return true;
    }

    int count() {
        return calls.size();
    }

    ClientRequest get(String id) {
        return calls.get(id);
    }

    /** Numbers of classes that requests have, also such as are over and still out at a server. */
    Set<Integer> classes() {
        return calls.values().stream().map(c -> c.request.requestClass()).collect(Collectors.toSet());
    }

    /** The request that this client waits for, if any. */
    ClientRequest of(ClientRequest.Client client) {
        return waiting.get(client);
    }

    /** Nothing is owed to its client any more; the ending is null where the client has left. */
    void over(ClientRequest call, SidecarMetrics.Ending ending) {
        waiting.remove(call.client);
        if (ending == null) {
            figures.left();
        } else {
            figures.ended(call.className, ending);
        }
    }

    /** Its attempts have ended too; nothing of it is kept. */
    void remove(ClientRequest call) {
        calls.remove(call.request.id(), call);
        call.body.release();
    }
}
