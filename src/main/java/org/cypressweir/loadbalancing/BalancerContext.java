package org.cypressweir.loadbalancing;

import java.util.SplittableRandom;
import org.cypressweir.loadbalancing.LoadBalancer.Actions;
import org.cypressweir.loadbalancing.LoadBalancer.Limits;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;

/** What all parts of one balancer share: its settings as they are now, its randomness, its statistics. */
final class BalancerContext {

    final Actions actions;
    final SplittableRandom random;
    final RequestClasses classes;
    final ServerEstimates estimates;
    final BackendRegistry backends;
    final ArrivalRate arrivals;
    final IdleConnectionTrust idleTrust;
    /** Part of the requests that is admitted. */
    double admissionProbability = 1;

    Settings settings;
    Limits limits;
    /**
     * There are more instances than servers. So each sends little: its own requests in flight and samples say
     * little, and connections cost much.
     */
    boolean hasManyInstances;

    BalancerContext(Settings settings, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        limits = settings.limits();
        random = new SplittableRandom(settings.seed());
        classes = new RequestClasses(settings.classes());
        estimates = new ServerEstimates(classes);
        double memoryMicros = ServerEstimates.FAILURE_MEMORY * classes.targetMicros;
        backends = new BackendRegistry(this, new FailureRates(memoryMicros, ServerEstimates.POOL_WEIGHT));
        idleTrust = new IdleConnectionTrust(classes);
        arrivals = new ArrivalRate(2.0 * Math.max(1, settings.rules().fallMicros()));
    }

    /** Where servers remember keys, the key takes the place of chance in the choice of a server. */
    boolean isByKey(PendingRequest request) {
        return settings.warmKeys() && request.request.key() >= 0;
    }
}
