package org.cypressweir.meshctl.state;

/**
 * The configuration in force at a process and, for a controller, the health of its replica.
 *
 * @param proposal the proposal number of the configuration in force
 * @param itemCount how many items the configuration has
 * @param confirmedMillis time since a quorum confirmed the configuration
 * @param reachable how many controllers are reachable, if the process itself counts them
 */
public record ReplicaState(
        JsonValue proposal,
        JsonValue itemCount,
        JsonValue storeOpen,
        JsonValue stateLost,
        JsonValue unhealthy,
        JsonValue quorumContact,
        JsonValue confirmedMillis,
        JsonValue voters,
        JsonValue reachable) {}
