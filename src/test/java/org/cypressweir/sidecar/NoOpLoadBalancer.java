package org.cypressweir.sidecar;

import java.util.List;
import org.cypressweir.loadbalancing.LoadBalancer;

/** A load balancer that does nothing; tests override the events that they observe. */
class NoOpLoadBalancer implements LoadBalancer {
    @Override
    public void servers(long nowMicros, ListKind kind, List<Server> list) {}

    @Override
    public void request(long nowMicros, Request request) {}

    @Override
    public void streamBegan(long nowMicros, String requestId, int attempt, long server, long elapsedMicros) {}

    @Override
    public void outcome(long nowMicros, Outcome outcome) {}

    @Override
    public void clientLeft(long nowMicros, String requestId) {}

    @Override
    public void timer(long nowMicros, long token) {}

    @Override
    public void probed(long nowMicros, long server, Result result, long elapsedMicros, LoadReport report) {}
}
