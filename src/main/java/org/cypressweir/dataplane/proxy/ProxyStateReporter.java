package org.cypressweir.dataplane.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.cypressweir.common.diagnostics.RequestTrace;
import org.cypressweir.common.diagnostics.StateEndpoint;

/** Answers operators' calls for the proxy's state and for the traces of a request. */
final class ProxyStateReporter implements StateEndpoint.StateSource {

    private final Supplier<ProxyStatus> status;
    private final RequestTrace endedRequests;
    private final ServiceHandlers handlers;
    private final Supplier<RequestTrace> newTrace;

    /** @param newTrace creates an empty trace, for the requests in flight with one id */
    ProxyStateReporter(
            Supplier<ProxyStatus> status,
            RequestTrace endedRequests,
            ServiceHandlers handlers,
            Supplier<RequestTrace> newTrace) {
        this.status = status;
        this.endedRequests = endedRequests;
        this.handlers = handlers;
        this.newTrace = newTrace;
    }

    @Override
    public Map<String, Object> state(boolean withItems) {
        return status.get().toMap(withItems);
    }

    @Override
    public List<Object> requestTraces(String id) {
        List<Object> traces = new ArrayList<>(endedRequests.findById(id));
        RequestTrace inFlight = newTrace.get();
        handlers.recordInFlight(id, inFlight);
        traces.addAll(inFlight.findById(id));
        return traces;
    }
}
