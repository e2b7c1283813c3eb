package org.cypressweir.meshctl.state;

import java.util.List;

/**
 * A process's response to the state call or to the call for traces of a request. A part that the response lacks is
 * empty.
 *
 * @param response the complete response, including unknown fields
 * @param kind controller or proxy, see {@link NodeKind}
 * @param process name and addresses of the process itself
 * @param items the items of the configuration, if they were requested
 * @param services the application instances that a proxy knows
 * @param requests the traces of a request, if they were requested
 */
public record NodeState(
        JsonObject response,
        JsonValue kind,
        ReportedProcess process,
        ReplicaState replica,
        List<Item> items,
        KnownProcesses knownProcesses,
        List<ServiceInstances> services,
        QuotaState quotas,
        RejectionState rejections,
        List<TracedRequest> requests) {

    /** Whether the process is of that kind. */
    public boolean is(NodeKind nodeKind) {
        return nodeKind.is(kind);
    }
}
