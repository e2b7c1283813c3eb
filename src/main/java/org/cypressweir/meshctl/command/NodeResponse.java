package org.cypressweir.meshctl.command;

import org.cypressweir.meshctl.state.NodeState;

/**
 * The result of querying one process: its state, or the reason why there is none.
 *
 * @param address the control-plane address that was queried
 * @param name the name that the process itself or another one reports; empty if none does
 * @param state null if there is no response
 * @param failure why there is no response; null if there is one
 */
record NodeResponse(String address, String name, NodeState state, String failure) {

    static NodeResponse success(String address, NodeState state) {
        return new NodeResponse(address, state.process().name().text(), state, null);
    }

    static NodeResponse failure(String address, String name, String failure) {
        return new NodeResponse(address, name, null, failure);
    }

    boolean failed() {
        return state == null;
    }

    /** The failure as one readable line. */
    String describeFailure() {
        return address + ": " + failure + (name.isEmpty() ? "" : " (" + name + ")");
    }
}
