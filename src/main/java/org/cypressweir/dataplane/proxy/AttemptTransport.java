package org.cypressweir.dataplane.proxy;

import java.util.function.Consumer;
import org.cypressweir.dataplane.http.upstream.UpstreamRequest;

/**
 * Carries an attempt to the application instance that was selected, and its result back: exactly one result
 * for each attempt, delivered on the event loop.
 */
interface AttemptTransport {

    /** An attempt that was sent. */
    interface Handle {
        /** The result is no longer needed; a request that is not idempotent runs to its end all the same. */
        void cancel();
    }

    /** @param callback may be called before this returns */
    Handle send(Endpoint endpoint, UpstreamRequest request, Consumer<AttemptResult> callback);
}
