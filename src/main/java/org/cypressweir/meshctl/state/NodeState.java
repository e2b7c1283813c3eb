package org.cypressweir.meshctl.state;

import java.util.List;

/**
 * A process's answer to the state call or to the call for traces of a request. A part that the answer does not have
 * is empty.
 *
 * @param answer the complete answer, with the fields that are unknown here
 * @param kind controller or proxy, see {@link NodeKind}
 * @param process name and addresses of the process itself
 * @param items the items of the configuration, where they were requested
 * @param services the application instances that a proxy knows
 * @param requests the traces of a request, where they were requested
 */
public record NodeState(
        JsonObject answer,
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
