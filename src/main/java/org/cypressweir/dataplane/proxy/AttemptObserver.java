package org.cypressweir.dataplane.proxy;

import org.cypressweir.loadbalancing.LoadBalancer.Result;

/** Is told of each attempt at a service that has ended. */
interface AttemptObserver {

    AttemptObserver NONE = (route, result, micros) -> {};

    /** @param micros how long it took */
    void attemptEnded(String route, Result result, long micros);
}
