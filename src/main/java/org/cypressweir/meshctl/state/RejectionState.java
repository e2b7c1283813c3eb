package org.cypressweir.meshctl.state;

import java.util.List;

/** The responses that a proxy generated itself, and the load of the application instance beside it. */
public record RejectionState(List<RejectionCount> counts, InstanceLoad ownInstance) {

    /** How many responses the proxy generated because of one kind of error. */
    public record RejectionCount(String errorKind, JsonValue count) {}

    /** Requests that the application instance runs, requests that are queued for it, and how many it may run. */
    public record InstanceLoad(JsonValue running, JsonValue queued, JsonValue slots) {}
}
