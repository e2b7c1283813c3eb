package org.cypressweir.dataplane.http.upstream;

import java.util.function.Consumer;

/** Takes requests for the one server beside this process, and tells one outcome of each. */
public interface RequestDispatcher {

    /** Takes a request; its end is told exactly once. */
    RequestHandle take(UpstreamRequest freight, Consumer<RequestOutcome> end);

    /** Nobody waits for it any more. What runs and must not be repeated goes on to its end. */
    void cancel(RequestHandle ticket);

    UpstreamLoad load();
}
