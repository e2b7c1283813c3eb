package larkbank.sidecar;

import java.util.HashMap;
import java.util.Map;

/** The requests of the process, whatever pool has them: an id is in hand once at most. */
final class InHand {

    private final Map<String, Call> calls = new HashMap<>();
    private final Map<Call.Client, Call> waiting = new HashMap<>();

    /** Takes a request; false where its id is in hand already. */
    boolean add(Call call) {
        if (calls.putIfAbsent(call.request.id(), call) != null) {
            return false;
        }
        waiting.put(call.client, call);
        return true;
    }

    Call get(String id) {
        return calls.get(id);
    }

    /** The request that this client waits for, if any. */
    Call of(Call.Client client) {
        return waiting.get(client);
    }

    /** Nothing is owed to its client any more. */
    void over(Call call) {
        waiting.remove(call.client);
    }

    /** Its attempts have ended too. */
    void remove(Call call) {
        calls.remove(call.request.id(), call);
    }
}
