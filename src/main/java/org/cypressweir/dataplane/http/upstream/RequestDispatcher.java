package org.cypressweir.dataplane.http.upstream;

import java.util.function.Consumer;

/** Sends requests to the one application server beside this process and reports exactly one outcome of each. */
public interface RequestDispatcher {

    /**
     * Submits a request.
     *
     * @param onOutcome called exactly once, possibly before this method returns
     */
    RequestHandle submit(UpstreamRequest request, Consumer<RequestOutcome> onOutcome);

    /** Cancels a request whose outcome is no longer needed. One that was sent and is not idempotent runs to its end. */
    void cancel(RequestHandle handle);

    /** The present load of the server. */
    UpstreamLoad load();
}
