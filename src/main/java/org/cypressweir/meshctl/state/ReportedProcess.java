package org.cypressweir.meshctl.state;

/**
 * Name and addresses of a process as it reports them itself or another one does.
 *
 * @param address the address of the process's connections to its peers
 * @param controlAddress the address of the process's control-plane listener
 */
public record ReportedProcess(JsonValue name, JsonValue address, JsonValue controlAddress) {}
