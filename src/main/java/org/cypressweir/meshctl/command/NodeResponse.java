package org.cypressweir.meshctl.command;

import org.cypressweir.meshctl.state.NodeState;

/**
 * What one process responded: its state, or the reason why there is none.
 *
 * @param address the control-plane address that was queried
 * @param name as the process itself or another one reports it; empty where none has
 * @param state null without a response
 * @param failure null with a response
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

    /** The failure as one line for people. */
    String describeFailure() {
        return address + ": " + failure + (name.isEmpty() ? "" : " (" + name + ")");
    }
}
