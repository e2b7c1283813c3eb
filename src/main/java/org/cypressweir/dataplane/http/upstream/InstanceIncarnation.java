package org.cypressweir.dataplane.http.upstream;

/**
 * One incarnation of the application server: the instance that has the address now.
 *
 * @param concurrency how many requests it can execute at once
 * @param warmUpEndsAtMicros the end of its warm-up (slow start), during which it gets fewer requests
 */
public record InstanceIncarnation(
        String instanceId, String service, int concurrency, boolean draining, long warmUpEndsAtMicros) {}
