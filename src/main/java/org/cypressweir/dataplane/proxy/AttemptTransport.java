package org.cypressweir.dataplane.proxy;

import java.util.function.Consumer;
import org.cypressweir.dataplane.http.upstream.UpstreamRequest;

/** Takes an attempt to the server that it is for, and its reply back: exactly one, on the loop. */
interface AttemptTransport {

    /** What can still be done with an attempt that is out. */
    interface Ride {
        /** Nobody waits for it any more; what can't be repeated goes on. */
        void cancel();
    }

    Ride send(Endpoint target, UpstreamRequest freight, Consumer<AttemptResult> end);
}
