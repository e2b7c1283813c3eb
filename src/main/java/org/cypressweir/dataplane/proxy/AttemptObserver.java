package org.cypressweir.dataplane.proxy;

import org.cypressweir.loadbalancing.LoadBalancer.Result;

/** Is notified of each attempt at a service that has ended. */
interface AttemptObserver {

    AttemptObserver NONE = (route, result, latencyMicros) -> {};

    /** @param latencyMicros how long the attempt took */
    void attemptEnded(String route, Result result, long latencyMicros);
}
