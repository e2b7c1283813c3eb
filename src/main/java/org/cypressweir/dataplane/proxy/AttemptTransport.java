package org.cypressweir.dataplane.proxy;

import java.util.function.Consumer;
import org.cypressweir.dataplane.http.upstream.UpstreamRequest;

/**
 * Sends an attempt to the selected application instance and returns its result: exactly one result for each attempt,
 * delivered on the event loop.
 */
interface AttemptTransport {

    /** An attempt that was sent. */
    interface Handle {
        /** Says that the result is no longer needed; a request that is not idempotent still runs to its end. */
        void cancel();
    }

    /** @param callback may be called before this returns */
    Handle send(Endpoint endpoint, UpstreamRequest request, Consumer<AttemptResult> callback);
}
