package org.cypressweir.meshctl.state;

/**
 * Name and addresses of a process, as reported by itself or by another process.
 *
 * @param address the address for connections from its peers
 * @param controlAddress the address of the process's control-plane listener
 */
public record ReportedProcess(JsonValue name, JsonValue address, JsonValue controlAddress) {}
