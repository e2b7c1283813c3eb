package org.cypressweir.dataplane.http.upstream;

/**
 * One life of the application server: the instance that has the address now, what it can work on at once,
 * and until when it is cold.
 */
public record InstanceIncarnation(
        String instanceId, String service, int slots, boolean draining, long warmUntilMicros) {}
